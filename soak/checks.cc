// Each promise is checked by one function.
#include "soak/checks.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

#include "jacinthdeck/http/status.h"

namespace jacinthdeck::soak {

namespace {

using Violations = std::vector<Violation>;
using RunsByRequest = std::unordered_map<std::string, std::vector<const Run*>>;

//! The history with the indexes that several checks share.
struct View {
  const History& history;
  const Bounds& bounds;
  RunsByRequest runs;
  std::unordered_map<std::string, TimePoint> leaving;
  std::unordered_map<std::string, std::string> domains;
};

[[nodiscard]] View MakeView(const History& history, const Bounds& bounds) {
  View view{history, bounds, {}, {}, {}};
  for (const Run& run : history.runs) {
    view.runs[run.request].push_back(&run);
  }
  for (const Leaving& left : history.leavings) {
    view.leaving.emplace(left.target, left.confirmed);
  }
  for (const Placement& placement : history.placements) {
    view.domains.emplace(placement.target, placement.domain);
  }
  return view;
}

[[nodiscard]] bool IsHarmed(const History& history,
                            const Call& call,
                            Harm harm,
                            Duration contact) {
  return std::ranges::any_of(history.troubles, [&](const Trouble& trouble) {
    const bool before = trouble.from > call.ended;
    const bool after =
        trouble.to != TimePoint::max() && trouble.to + contact < call.sent;
    return trouble.entry == call.entry && trouble.harm == harm && !before &&
           !after;
  });
}

[[nodiscard]] bool SaysNotRun(int status) {
  return status == http_status::kTooManyRequests ||
         status == http_status::kUnavailable ||
         status == http_status::kRequestTimeout ||
         status == http_status::kMisdirected;
}

[[nodiscard]] const std::vector<const Run*>& RunsOf(const View& view,
                                                    const Call& call) {
  static const std::vector<const Run*> none;
  const auto found = view.runs.find(call.id);
  return found == view.runs.end() ? none : found->second;
}

[[nodiscard]] std::string Seen(const Call& call, const std::string& what) {
  return "request " + call.id + " at entry " + std::to_string(call.entry) +
         ", sent " + std::to_string(call.sent.time_since_epoch().count()) +
         " us: " + what;
}

void CheckRunsOnce(const View& view, Violations& found) {
  for (const Call& call : view.history.calls) {
    const std::size_t runs = RunsOf(view, call).size();
    if (call.kind == CallKind::kClaim && runs > 1) {
      found.push_back({Promise::kRunsOnce,
                       Seen(call, "ran " + std::to_string(runs) + " times")});
    }
  }
}

void CheckNotRunIsTrue(const View& view, Violations& found) {
  for (const Call& call : view.history.calls) {
    if (call.kind == CallKind::kClaim && SaysNotRun(call.status) &&
        !RunsOf(view, call).empty()) {
      found.push_back({Promise::kNotRunIsTrue,
                       Seen(call, "was told " + std::to_string(call.status) +
                                      " and ran at " +
                                      RunsOf(view, call).front()->target)});
    }
  }
}

void CheckOnlyAskedRuns(const View& view, Violations& found) {
  std::unordered_set<std::string> asked;
  for (const Call& call : view.history.calls) {
    asked.insert(call.id);
  }
  for (const Run& run : view.history.runs) {
    if (!asked.contains(run.request)) {
      found.push_back(
          {Promise::kOnlyAskedRuns, run.request + " ran at " + run.target});
    }
  }
}

//! Describes what is wrong with the records of a successful call; empty if they
//! are valid.
[[nodiscard]] std::string FaultOf(const Call& call) {
  if (call.records.empty()) {
    return "success without a record";
  }
  std::set<std::uint32_t> shards;
  for (const Record& record : call.records) {
    if (record.request != HashOf(call.id)) {
      return "holds the answer to another request";
    }
    if (record.layout != call.records.front().layout) {
      return "holds shards of two layouts";
    }
    if (!shards.insert(record.shard).second) {
      return "holds shard " + std::to_string(record.shard) + " twice";
    }
  }
  return "";
}

void CheckOneLayout(const View& view, Violations& found) {
  for (const Call& call : view.history.calls) {
    if (call.status != http_status::kOk) {
      continue;
    }
    if (const std::string fault = FaultOf(call); !fault.empty()) {
      found.push_back({Promise::kOneLayout, Seen(call, fault)});
    }
  }
}

//! Returns the lowest layout that a call sent at this time may be served by.
//! Layout numbers only increase.
[[nodiscard]] std::uint32_t LeastLayout(const View& view, TimePoint sent) {
  std::uint32_t least = 0;
  for (const LayoutChange& change : view.history.layouts) {
    if (change.confirmed + view.bounds.apply < sent) {
      least = std::max(least, change.layout);
    }
  }
  return least;
}

void CheckConfigInTime(const View& view, Violations& found) {
  for (const Call& call : view.history.calls) {
    if (call.records.empty() ||
        IsHarmed(view.history, call, Harm::kKnowledge, view.bounds.contact)) {
      continue;
    }
    const std::uint32_t least = LeastLayout(view, call.sent);
    if (call.records.front().layout < least) {
      found.push_back(
          {Promise::kConfigInTime,
           Seen(call, "served by layout " +
                          std::to_string(call.records.front().layout) +
                          ", due " + std::to_string(least))});
    }
  }
}

void CheckConfigNeverReverts(const View& view, Violations& found) {
  std::map<std::size_t, std::vector<const Call*>> by_entry;
  for (const Call& call : view.history.calls) {
    if (!call.records.empty()) {
      by_entry[call.entry].push_back(&call);
    }
  }
  for (auto& [entry, calls] : by_entry) {
    std::ranges::sort(calls, {}, &Call::ended);
    for (const Call* call : calls) {
      const auto newer = std::ranges::find_if(calls, [&](const Call* seen) {
        return seen->ended + view.bounds.rollback < call->sent &&
               seen->records.front().layout > call->records.front().layout;
      });
      if (newer != calls.end()) {
        found.push_back(
            {Promise::kConfigNeverReverts,
             Seen(*call, "older than what " + (*newer)->id + " had seen")});
      }
    }
  }
}

//! Passes on each run of a call whose entry no fault kept from receiving
//! changes.
template <typename Take>
void ForInformedRuns(const View& view, Take take) {
  for (const Call& call : view.history.calls) {
    if (IsHarmed(view.history, call, Harm::kKnowledge, view.bounds.contact)) {
      continue;
    }
    for (const Run* run : RunsOf(view, call)) {
      take(call, *run);
    }
  }
}

void CheckLeftTargets(const View& view, Violations& found) {
  ForInformedRuns(view, [&](const Call& call, const Run& run) {
    const auto left = view.leaving.find(run.target);
    if (left != view.leaving.end() &&
        left->second + view.bounds.drain < call.sent) {
      found.push_back(
          {Promise::kLeftTargetGetsNothing,
           Seen(call, "ran at " + run.target + ", which had left")});
    }
  });
}

//! Whether the call falls wholly into an evacuation of the domain, after its
//! bound.
[[nodiscard]] bool IsEvacuated(const View& view,
                               const std::string& domain,
                               const Call& call) {
  return std::ranges::any_of(
      view.history.evacuations, [&](const EvacuatedTime& evacuated) {
        return evacuated.domain == domain &&
               evacuated.confirmed + view.bounds.evacuate < call.sent &&
               call.ended < evacuated.ended;
      });
}

void CheckEvacuatedDomains(const View& view, Violations& found) {
  ForInformedRuns(view, [&](const Call& call, const Run& run) {
    const auto domain = view.domains.find(run.target);
    if (domain != view.domains.end() &&
        IsEvacuated(view, domain->second, call)) {
      found.push_back(
          {Promise::kEvacuatedGetsNothing,
           Seen(call, "ran at " + run.target + ", whose domain is evacuated")});
    }
  });
}

void CheckCuts(const View& view, Violations& found) {
  for (const Call& call : view.history.calls) {
    if (call.end == CallEnd::kClosed && !RunsOf(view, call).empty() &&
        !IsHarmed(view.history, call, Harm::kConnections, Duration::zero())) {
      found.push_back({Promise::kNoRequestIsCut,
                       Seen(call, "ran, and its connection ended")});
    }
  }
}

void CheckRecovery(const View& view, Violations& found) {
  const CalmCalls calm = CountCalmCalls(view.history);
  if (static_cast<double>(calm.answered) <
      static_cast<double>(calm.sent) * view.bounds.recovered_share) {
    found.push_back({Promise::kRecovers, std::to_string(calm.answered) +
                                             " of " +
                                             std::to_string(calm.sent) +
                                             " answered in calm times"});
  }
}

}  // namespace

CalmCalls CountCalmCalls(const History& history) {
  CalmCalls calm;
  for (const Call& call : history.calls) {
    if (call.sent > history.calm_since) {
      ++calm.sent;
      calm.answered += call.status == http_status::kOk ? 1U : 0U;
    }
  }
  return calm;
}

std::vector<Violation> FindViolations(const History& history,
                                      const Bounds& bounds) {
  constexpr std::array kChecks{&CheckRunsOnce,      &CheckNotRunIsTrue,
                               &CheckOnlyAskedRuns, &CheckOneLayout,
                               &CheckConfigInTime,  &CheckConfigNeverReverts,
                               &CheckLeftTargets,   &CheckEvacuatedDomains,
                               &CheckCuts,          &CheckRecovery};
  const View view = MakeView(history, bounds);
  Violations found;
  for (const auto check : kChecks) {
    check(view, found);
  }
  return found;
}

}  // namespace jacinthdeck::soak
