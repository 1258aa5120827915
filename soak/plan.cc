// Generates overlapping faults, each with the action that ends it.
#include "soak/plan.h"

#include <algorithm>
#include <array>

#include "jacinthdeck/core/random.h"

namespace jacinthdeck::soak {

namespace {

using std::chrono::milliseconds;

//! Range of fault durations; the longest exceeds the time bounds of the
//! promises.
constexpr std::uint64_t kShortestFaultMs = 200;
constexpr std::uint64_t kLongestFaultMs = 4000;
//! Range of evacuation durations; even the shortest exceeds the bound within
//! which an evacuation must take effect.
constexpr std::uint64_t kShortestEvacuationMs = 2000;
constexpr std::uint64_t kLongestEvacuationMs = 9000;
//! Range of the age of the copy that the store is restored from.
constexpr std::uint64_t kYoungestCopyMs = 500;
constexpr std::uint64_t kOldestCopyMs = 5000;
//! Time from the restore until the following reshard. The store is reachable
//! again by then; operators may or may not have repeated their lost writes.
constexpr Duration kReshardAfterRestore = milliseconds(2000);
//! Range of the time until operators notice lost writes and repeat them.
constexpr std::uint64_t kSoonestRewriteMs = 200;
constexpr std::uint64_t kLatestRewriteMs = 3000;
//! Range of the gap between two entries of a rolling restart.
constexpr std::uint64_t kShortestGapMs = 300;
constexpr std::uint64_t kLongestGapMs = 1500;
//! Range of the delay of an entry's link to its callers during its stop in a
//! rolling restart, in each direction.
constexpr std::uint64_t kShortestLinkDelayMs = 20;
constexpr std::uint64_t kLongestLinkDelayMs = 150;
//! Range of the target indices that a plan draws.
constexpr std::size_t kTargets = 64;

//! A fault and the action that ends it; both are equal if the fault needs no
//! end. A pair listed twice is drawn twice as often; kDrainTarget and
//! kLoseAnswers are, because they affect only one of many targets.
struct FaultPair {
  ActionKind begin;
  ActionKind end;
};

constexpr std::array kFaultPairs{
    FaultPair{ActionKind::kStopEntry, ActionKind::kContinueEntry},
    FaultPair{ActionKind::kKillEntry, ActionKind::kStartEntry},
    FaultPair{ActionKind::kDrainEntry, ActionKind::kStartEntry},
    FaultPair{ActionKind::kStopTarget, ActionKind::kContinueTarget},
    FaultPair{ActionKind::kKillTarget, ActionKind::kKillTarget},
    FaultPair{ActionKind::kDrainTarget, ActionKind::kDrainTarget},
    FaultPair{ActionKind::kDrainTarget, ActionKind::kDrainTarget},
    FaultPair{ActionKind::kLoseAnswers, ActionKind::kAnswerAll},
    FaultPair{ActionKind::kLoseAnswers, ActionKind::kAnswerAll},
    FaultPair{ActionKind::kReshard, ActionKind::kReshard},
    FaultPair{ActionKind::kStoreFault, ActionKind::kClearStoreFault},
    FaultPair{ActionKind::kCompactStore, ActionKind::kCompactStore},
    FaultPair{ActionKind::kLinkFault, ActionKind::kClearLinkFault}};

template <typename Enum, std::size_t Size>
[[nodiscard]] Enum Draw(const NameTable<Enum, Size>& /*names*/,
                        Random& random,
                        std::uint64_t first = 0) {
  return static_cast<Enum>(first + random.Below(Size - first));
}

//! Draws target links for half of the link faults, because answers that are
//! lost there can lead an entry to report a wrong outcome.
[[nodiscard]] Link DrawLink(Random& random) {
  constexpr std::uint64_t kChances = 4;
  const std::uint64_t drawn = random.Below(kChances);
  return drawn == 0   ? Link::kCallers
         : drawn == 1 ? Link::kStore
                      : Link::kTarget;
}

[[nodiscard]] bool AffectsEntry(const Action& action) {
  return action.kind == ActionKind::kStopEntry ||
         action.kind == ActionKind::kKillEntry ||
         action.kind == ActionKind::kDrainEntry ||
         (action.kind == ActionKind::kLinkFault &&
          action.link != Link::kTarget);
}

struct Span {
  Duration at{};
  Duration duration{};
};

//! Draws a span that ends within the length of the plan, if it fits.
[[nodiscard]] Span DrawSpan(const PlanOptions& options,
                            std::uint64_t shortest_ms,
                            std::uint64_t longest_ms,
                            Random& random) {
  Span span;
  span.duration =
      milliseconds(shortest_ms + random.Below(longest_ms - shortest_ms));
  const Duration begin_range =
      std::max(options.length - span.duration, Duration(1));
  span.at =
      Duration(random.Below(static_cast<std::uint64_t>(begin_range.count())));
  return span;
}

//! Adds evacuations from a generator of their own, so that the faults of a seed
//! stay the same.
void AddEvacuations(const PlanOptions& options, std::vector<Action>& plan) {
  constexpr std::uint64_t kSeedMask = 0x9e3779b97f4a7c15U;
  Random random(options.seed ^ kSeedMask);
  for (std::size_t index = 0; index < options.evacuations; ++index) {
    const Span span =
        DrawSpan(options, kShortestEvacuationMs, kLongestEvacuationMs, random);
    plan.push_back({span.at, ActionKind::kEvacuate});
    plan.push_back({span.at + span.duration, ActionKind::kEndEvacuation});
  }
}

//! Adds restores of the store, each followed by a reshard, since a write after
//! a restore must still reach all entries. If a second copy is made before the
//! first restore, the first restore uses the second copy.
void AddRestores(const PlanOptions& options, std::vector<Action>& plan) {
  constexpr std::uint64_t kSeedMask = 0xd1b54a32d192ed03U;
  constexpr std::uint64_t kRewriteSeedMask = 0x8cb92ba72f3d8dd7U;
  Random random(options.seed ^ kSeedMask);
  Random rewrites(options.seed ^ kRewriteSeedMask);
  for (std::size_t index = 0; index < options.restores; ++index) {
    PlanOptions earlier = options;
    earlier.length -= std::min(options.length, kReshardAfterRestore);
    const Span span = DrawSpan(earlier, kYoungestCopyMs, kOldestCopyMs, random);
    plan.push_back({span.at, ActionKind::kCopyStore});
    Action restore{span.at + span.duration, ActionKind::kRestoreStore};
    restore.rewritten_after = options.rewritten_after.value_or(
        milliseconds(kSoonestRewriteMs +
                     rewrites.Below(kLatestRewriteMs - kSoonestRewriteMs)));
    plan.push_back(restore);
    plan.push_back(
        {span.at + span.duration + kReshardAfterRestore, ActionKind::kReshard});
  }
}

//! Adds changes to accounts in the first half of the plan, so that their
//! effects can be checked after the faults.
void AddAccountChanges(const PlanOptions& options, std::vector<Action>& plan) {
  constexpr std::uint64_t kSeedMask = 0xe7037ed1a0b428dbU;
  constexpr std::array kChanges{ActionKind::kRemoveKey, ActionKind::kAddKey,
                                ActionKind::kLowerLimit};
  Random random(options.seed ^ kSeedMask);
  for (std::size_t index = 0; index < options.account_changes; ++index) {
    Action action;
    action.kind = kChanges[random.Below(kChanges.size())];
    action.subject = random.Below(kTargets);
    action.at = Duration(
        random.Below(static_cast<std::uint64_t>(options.length.count()) / 2));
    plan.push_back(action);
  }
}

//! Adds rolling restarts of all entries. The gap between two entries is shorter
//! than a stop, so that stops overlap, and a reshard falls into each restart.
void AddRollingRestarts(const PlanOptions& options, std::vector<Action>& plan) {
  constexpr std::uint64_t kSeedMask = 0x589965cc75374cc3U;
  constexpr std::uint64_t kDelaySeedMask = 0xc2b2ae3d27d4eb4fU;
  Random random(options.seed ^ kSeedMask);
  Random delays(options.seed ^ kDelaySeedMask);
  const auto entries =
      static_cast<Duration::rep>(std::max<std::size_t>(options.entries, 1));
  for (std::size_t index = 0; index < options.rolling; ++index) {
    const Duration drawn_gap = milliseconds(
        kShortestGapMs + random.Below(kLongestGapMs - kShortestGapMs));
    const Duration gap =
        std::min<Duration>(drawn_gap, options.length / (entries + 1));
    const Duration whole = gap * entries;
    const Duration begin = Duration(random.Below(
        static_cast<std::uint64_t>((options.length - whole).count())));
    for (Duration::rep entry = 0; entry < entries; ++entry) {
      const Duration at = begin + gap * entry;
      const auto subject = static_cast<std::size_t>(entry);
      Action drain{at, ActionKind::kDrainEntry, subject};
      drain.link_delay = milliseconds(
          kShortestLinkDelayMs +
          delays.Below(kLongestLinkDelayMs - kShortestLinkDelayMs + 1));
      plan.push_back(drain);
      // The process starts again as soon as the old one has ended.
      plan.push_back({at + gap / 2, ActionKind::kStartEntry, subject});
    }
    plan.push_back({begin + Duration(random.Below(
                                static_cast<std::uint64_t>(whole.count()))),
                    ActionKind::kReshard});
  }
}

}  // namespace

std::vector<Action> MakePlan(const PlanOptions& options) {
  Random random(options.seed);
  std::vector<Action> plan;
  for (std::size_t fault = 0; fault < options.faults; ++fault) {
    const FaultPair& pair = kFaultPairs[random.Below(kFaultPairs.size())];
    Action action;
    action.kind = pair.begin;
    action.store = Draw(kStoreFaultNames, random);
    action.link = DrawLink(random);
    action.mode = Draw(kLinkModeNames, random, 1);
    action.subject =
        random.Below(AffectsEntry(action) ? options.entries : kTargets);
    const Span span =
        DrawSpan(options, kShortestFaultMs, kLongestFaultMs, random);
    action.at = span.at;
    plan.push_back(action);
    if (pair.end != pair.begin) {
      action.kind = pair.end;
      action.at += span.duration;
      plan.push_back(action);
    }
  }
  AddEvacuations(options, plan);
  AddRestores(options, plan);
  AddAccountChanges(options, plan);
  AddRollingRestarts(options, plan);
  std::ranges::stable_sort(plan, {}, &Action::at);
  return plan;
}

std::string Describe(const Action& action) {
  std::string text = std::to_string(action.at.count() / 1000) + " ms " +
                     std::string(kActionNames.Name(action.kind)) + " " +
                     std::to_string(action.subject);
  if (action.kind == ActionKind::kStoreFault) {
    text += " " + std::string(kStoreFaultNames.Name(action.store));
  }
  if (action.kind == ActionKind::kLinkFault ||
      action.kind == ActionKind::kClearLinkFault) {
    text += " " + std::string(kLinkNames.Name(action.link)) + " " +
            std::string(kLinkModeNames.Name(action.mode));
  }
  if (action.link_delay.count() > 0) {
    text += " link delay " + std::to_string(action.link_delay.count()) + " ms";
  }
  if (action.kind == ActionKind::kRestoreStore) {
    text += " rewritten after " +
            std::to_string(action.rewritten_after.count() / 1000) + " ms";
  }
  return text;
}

}  // namespace jacinthdeck::soak
