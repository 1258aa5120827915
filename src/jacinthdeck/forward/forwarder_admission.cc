// Which calls are taken, and what the others are told.
#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "jacinthdeck/forward/forwarder.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! A host that has just started, or was cut off, mostly knows the
//! configuration again within this time.
constexpr Duration kNoConfigComeBack = milliseconds(500);
//! Targets that restart, or a resharding, mostly take about this long.
constexpr Duration kNoTargetComeBack = milliseconds(600);
//! A request that crashes its targets does so again for as long as the guard
//! remembers it.
constexpr Duration kCrashComeBack = std::chrono::seconds(60);
//! Bounds of the time after which an overload is expected to be over.
constexpr Duration kLeastComeBack = milliseconds(150);
constexpr Duration kMostComeBack = milliseconds(2000);
//! Callers refused together must not come back together.
constexpr double kComeBackSpread = 1.0;
//! Longest expected delay of a call, in objectives, by its priority: the
//! urgent ones may use the queue that others must leave free.
constexpr double kMostDelay = 1.0;
//! The same while at most half of the shards have a queue. The delay is an
//! estimate from this host's view; a few crowded shards mostly answer sooner,
//! by a hedge or another target, and a caller that is sent away finds the same
//! shards when it comes back. Above capacity all shards have one, and the same
//! patience there would fill the queues with calls that come too late.
constexpr double kMostLocalDelay = 1.5;
constexpr double kDelayStep = 0.1;
constexpr double kLeastMostDelay = 0.5;
//! Stands for the objective of a route without one.
constexpr Duration kDefaultObjective = milliseconds(500);
//! For an estimate without regard to this host's share of a target.
constexpr TargetShare kUnbounded{.connections = 1000, .hosts = 1};
//! A target without a place is expected to have one after this many times the
//! usual latency of what it answers.
constexpr int kNoPlaceMeans = 16;

[[nodiscard]] std::string_view PathOf(const OpaqueRequest& request) {
  return std::string_view(request.target).substr(0, request.target.find('?'));
}

[[nodiscard]] Duration ObjectiveOf(const Route& route) {
  return route.objective > Duration::zero() ? route.objective
                                            : kDefaultObjective;
}

//! Tells whether at most half of the shards have a queue.
[[nodiscard]] bool IsLocal(const CallTrace& story) {
  return 2 * story.full_shards <= story.shards;
}

//! Longest delay with which a call is worth its work.
[[nodiscard]] Duration MostDelay(const Route& route, const CallTrace& story) {
  const double most = IsLocal(story) ? kMostLocalDelay : kMostDelay;
  const double part =
      std::max(most - kDelayStep * route.priority, kLeastMostDelay);
  return Duration(static_cast<Duration::rep>(
      part * static_cast<double>(ObjectiveOf(route).count())));
}

}  // namespace

void Forwarder::Submit(ForwardCall call, TimePoint now) {
  ++m_counters.calls;
  PendingCall open;
  open.call = std::move(call);
  if (!Open(open)) {
    return;
  }
  if (const auto reason = ReasonToRefuse(open, now)) {
    Refuse(open.call, AnswerKind::kNotRun, *reason,
           ComeBackAfter(*reason, open), open.story);
    return;
  }
  const CallId id = open.call.id;
  PendingCall& placed = m_calls.emplace(id, std::move(open)).first->second;
  for (std::size_t part = 0; part < placed.parts.size(); ++part) {
    BudgetOf(placed.parts[part].service).OnRequest(now);
    SendPart(placed, part, AttemptReason::kFirst, now);
  }
  Settle(placed, now);
}

bool Forwarder::Open(PendingCall& open) {
  open.story.config = m_config;
  if (m_config == nullptr) {
    Refuse(open.call, AnswerKind::kNotRun, ForwardReason::kNoConfig,
           kNoConfigComeBack, open.story);
    return false;
  }
  open.config = m_config;
  open.route =
      m_config->Find(open.call.request->host, PathOf(*open.call.request));
  open.story.route = open.route;
  if (open.route == nullptr) {
    Refuse(open.call, AnswerKind::kNoRoute, ForwardReason::kNoRoute,
           std::nullopt, open.story);
    return false;
  }
  open.profile = &ProfileOf(*open.route);
  open.story.route_latency = open.profile->route_latency();
  open.fingerprint = FingerprintOf(*open.call.request);
  open.story.fingerprint = open.fingerprint;
  if (open.route->fans_out()) {
    for (const ServiceId& shard : open.route->shards) {
      open.parts.emplace_back().service = shard;
    }
  } else {
    const std::size_t index =
        m_turns[open.route->name].Next(open.route->services);
    open.parts.emplace_back().service = open.route->services[index].service;
    open.story.service = open.parts.front().service;
  }
  open.unsettled = open.parts.size();
  open.story.shards = static_cast<std::uint32_t>(open.parts.size());
  SetTimes(open);
  return true;
}

void Forwarder::SetTimes(PendingCall& open) const {
  TimePoint end = open.call.deadline;
  if (open.route->timeout > Duration::zero()) {
    end = std::min(end, open.call.arrived + open.route->timeout);
  }
  if (end == TimePoint::max()) {
    constexpr Duration kLongest = std::chrono::minutes(1);
    end = open.call.arrived + kLongest;
  }
  open.call.deadline = end;
  open.final_at =
      std::max(end - m_options.answer_margin, open.call.arrived + Duration(1));
  open.partial_at = open.final_at;
  if (open.route->fans_out() && open.route->objective > Duration::zero()) {
    open.partial_at =
        std::min(open.final_at, open.call.arrived + open.route->objective -
                                    m_options.answer_margin);
  }
}

std::size_t Forwarder::CountLiveShards(PendingCall& open) const {
  std::size_t shards = 0;
  std::size_t fewest = std::numeric_limits<std::uint32_t>::max();
  for (const CallPart& part : open.parts) {
    const std::size_t live = m_targets.Live(part.service);
    shards += live > 0 ? 1 : 0;
    fewest = std::min(fewest, live);
  }
  open.story.fewest_targets = static_cast<std::uint32_t>(fewest);
  return shards;
}

std::optional<ForwardReason> Forwarder::ReasonToRefuse(PendingCall& open,
                                                       TimePoint now) {
  if (m_crashes.IsQuarantined(open.fingerprint, now)) {
    return ForwardReason::kCrashesTargets;
  }
  if (CountLiveShards(open) < open.route->min_shards()) {
    return ForwardReason::kNoTarget;
  }
  if (IsTooLate(open, now)) {
    return ForwardReason::kDeadline;
  }
  open.story.expected = ExpectedDelay(open, now);
  if (open.story.expected > MostDelay(*open.route, open.story)) {
    return ForwardReason::kOverload;
  }
  return std::nullopt;
}

// A guess tells nobody that it is too late, and a measured latency only while
// it is fresh or attempts of the route are under way, which will correct it.
// Else the callers of a route that was slow, or is new, would be refused for as
// long as the process lives: those that are refused measure nothing. Of a route
// that is slow still one call is tried at a time, so that little work is lost.
bool Forwarder::IsTooLate(const PendingCall& open, TimePoint now) const {
  if (open.final_at - now >= open.profile->least_time()) {
    return false;
  }
  return open.profile->IsFresh(now) ||
         std::ranges::any_of(m_attempts, [&](const auto& item) {
           return item.second.profile == open.profile;
         });
}

// None while a slot is free. Past latencies alone must not count: after a hard
// time they are high, refusals would keep new ones from being learned, and a
// tier with idle targets would refuse for ever.
Duration Forwarder::QueueDelay(const PendingCall& open,
                               const ServiceId& service,
                               const TargetChoice& choice,
                               TimePoint now) const {
  if (choice.target == nullptr) {
    // Where neither a target nor the route was measured there is no wait to
    // tell of: the call looks for a place, and is refused if it finds none.
    const LatencyEstimate route_latency = open.profile->route_latency();
    const Duration known =
        route_latency.is_measured() ? route_latency.mean : Duration::zero();
    return m_targets.MeanServedLatency(service, known) * kNoPlaceMeans;
  }
  return choice.target->Occupancy(now) < 1 ? Duration::zero() : choice.expected;
}

TargetCriteria Forwarder::NeedOf(const PendingCall& open,
                                 const ServiceId& service,
                                 const TargetShare& share) const {
  TargetCriteria need;
  need.service = service;
  need.route_latency = open.profile->route_latency();
  need.share = share;
  need.needed = NeedsEachShard(open);
  need.cold_rate = open.config->ColdRate(service);
  need.objective = open.route->objective;
  return need;
}

Duration Forwarder::ExpectedDelay(PendingCall& open, TimePoint now) {
  std::vector<Duration> delays;
  delays.reserve(open.parts.size());
  for (const CallPart& part : open.parts) {
    const TargetChoice choice = m_targets.Pick(
        NeedOf(open, part.service, ShareOf(open, part.service)), now);
    delays.push_back(QueueDelay(open, part.service, choice, now));
    open.story.full_shards += delays.back() > Duration::zero() ? 1 : 0;
    open.story.shards_without_capacity += choice.target == nullptr ? 1 : 0;
  }
  if (IsLocal(open.story)) {
    // Calls that overlap at this host hold its share of a shard's targets, and
    // a place is free within an answer's time: what counts is their queue.
    // Else calm calls would be refused now and then.
    for (std::size_t index = 0; index < delays.size(); ++index) {
      if (delays[index] > Duration::zero()) {
        const ServiceId& service = open.parts[index].service;
        const TargetChoice choice =
            m_targets.Pick(NeedOf(open, service, kUnbounded), now);
        delays[index] =
            std::min(delays[index], QueueDelay(open, service, choice, now));
      }
    }
  }
  // Shards that the answer can do without do not hold it up.
  std::ranges::sort(delays);
  return delays[open.route->min_shards() - 1];
}

Duration Forwarder::ComeBackAfter(ForwardReason reason,
                                  const PendingCall& open) {
  switch (reason) {
    case ForwardReason::kNoTarget:
      return kNoTargetComeBack;
    case ForwardReason::kCrashesTargets:
      return kCrashComeBack;
    default:
      break;
  }
  // The queue is gone about when the work that stands in it is done.
  const Duration over =
      std::clamp(open.story.expected, kLeastComeBack, kMostComeBack);
  const double spread = 1 + kComeBackSpread * m_random.Unit();
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(over.count()) * spread));
}

void Forwarder::Refuse(const ForwardCall& call,
                       AnswerKind kind,
                       ForwardReason reason,
                       std::optional<Duration> retry_after,
                       const CallTrace& story) {
  ForwardAnswer answer;
  answer.kind = kind;
  answer.reason = reason;
  answer.retry_after = retry_after;
  m_port.Deliver(call.id, std::move(answer), story);
}

LatencyProfile& Forwarder::ProfileOf(const Route& route) {
  return m_profiles.try_emplace(route.name, route.objective).first->second;
}

AttemptBudget& Forwarder::BudgetOf(const ServiceId& service) {
  const auto found = m_budgets.find(service);
  if (found != m_budgets.end()) {
    return found->second;
  }
  AttemptBudget& budget =
      m_budgets.try_emplace(service, m_options.budget).first->second;
  ShareBudget(budget);
  return budget;
}

}  // namespace jacinthdeck
