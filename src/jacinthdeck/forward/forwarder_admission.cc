// Admission control: which calls are accepted, and what refused callers are
// told.
#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "jacinthdeck/forward/forwarder.h"
#include "jacinthdeck/forward/top_records.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! A host that has just started, or was disconnected, usually has the
//! configuration again within this time.
constexpr Duration kNoConfigRetryAfter = milliseconds(500);
//! Resharding, or the registration of the first target of a service, usually
//! takes about this long.
constexpr Duration kNoTargetRetryAfter = milliseconds(600);
//! A suspect request has usually been tried on a target within this time.
constexpr Duration kSuspectRetryAfter = milliseconds(600);
//! Calls mostly end within this time and give their memory back.
constexpr Duration kNoMemoryRetryAfter = milliseconds(500);
//! Bounds of the time after which an overload is expected to be over.
constexpr Duration kMinRetryAfter = milliseconds(150);
constexpr Duration kMaxRetryAfter = milliseconds(2000);
//! Random part of the retry time, relative to it: callers refused at the same
//! time must not return at the same time.
constexpr double kRetryAfterJitter = 1.0;
//! Maximum expected delay of an admitted call in objectives, at priority 0. It
//! decreases by kDelayLimitStep for each lower priority, down to
//! kMinDelayLimit, so that urgent calls may use the part of the queue that the
//! others must leave free.
constexpr double kDelayLimit = 1.0;
//! The same while at most half of the shards have a queue. The delay is an
//! estimate from the view of this host: a few overloaded shards usually answer
//! sooner, through a hedge or another target, and a refused caller finds the
//! same shards when it returns. Above capacity all shards have a queue, and
//! this higher limit would fill the queues with calls that are answered too
//! late.
constexpr double kLocalDelayLimit = 1.5;
constexpr double kDelayLimitStep = 0.1;
constexpr double kMinDelayLimit = 0.5;
//! Memory of the ids and the stamp of a part.
constexpr std::uint64_t kPartTextBytes = 256;
//! Objective assumed for a route without one.
constexpr Duration kDefaultObjective = milliseconds(500);
//! Share for an estimate that ignores this host's limits at a target.
constexpr TargetShare kUnboundedShare{.connections = 1000, .hosts = 1};
//! Expected time until a target without capacity has capacity again, as a
//! multiple of the mean latency of what it answers.
constexpr int kNoCapacityMeanFactor = 16;

[[nodiscard]] Duration ObjectiveOf(const Route& route) {
  return route.objective > Duration::zero() ? route.objective
                                            : kDefaultObjective;
}

//! Returns whether at most half of the shards have a queue.
[[nodiscard]] bool IsLocalOverload(const CallTrace& trace) {
  return 2 * trace.full_shards <= trace.shards;
}

}  // namespace

void Forwarder::Submit(ForwardCall call, TimePoint now) {
  ++m_counters.calls;
  PendingCall pending;
  pending.call = std::move(call);
  if (!PrepareCall(pending)) {
    return;
  }
  const auto reason = ReasonToRefuse(pending, now);
  if (MayQueue(pending)) {
    StartOrWait(std::move(pending), reason, now);
  } else if (reason) {
    RefuseNotRun(pending, *reason, now);
  } else {
    Start(std::move(pending), now);
  }
}

void Forwarder::Start(PendingCall pending, TimePoint now) {
  const CallId id = pending.call.id;
  PendingCall& admitted = m_calls.emplace(id, std::move(pending)).first->second;
  for (std::size_t part = 0; part < admitted.parts.size(); ++part) {
    BudgetOf(admitted.parts[part].service).OnRequest(now);
    TrySendAttempt(admitted, part, AttemptReason::kFirst, now);
  }
  FinishIfDone(admitted, now);
}

Duration Forwarder::DelayLimit(const PendingCall& pending) {
  const double base_factor =
      IsLocalOverload(pending.trace) ? kLocalDelayLimit : kDelayLimit;
  const double factor = std::max(
      base_factor - kDelayLimitStep * PriorityOf(pending), kMinDelayLimit);
  return Duration(static_cast<Duration::rep>(
      factor * static_cast<double>(ObjectiveOf(*pending.route).count())));
}

bool Forwarder::PrepareCall(PendingCall& pending) {
  pending.trace.config = m_config;
  if (m_config == nullptr) {
    Refuse(pending.call, AnswerKind::kNotRun, ForwardReason::kNoConfig,
           kNoConfigRetryAfter, pending.trace);
    return false;
  }
  pending.config = m_config;
  pending.route =
      m_config->Find(pending.call.request->host, pending.call.request->path());
  pending.trace.route = pending.route;
  if (pending.route == nullptr) {
    Refuse(pending.call, AnswerKind::kNoRoute, ForwardReason::kNoRoute,
           std::nullopt, pending.trace);
    return false;
  }
  if (!HoldMemory(pending)) {
    return false;
  }
  pending.profile = &ProfileOf(*pending.route);
  pending.trace.route_latency = pending.profile->route_latency();
  pending.fingerprint = FingerprintOf(*pending.call.request);
  pending.trace.fingerprint = pending.fingerprint;
  if (pending.route->fans_out()) {
    for (const ServiceId& shard : pending.route->shards) {
      pending.parts.emplace_back().service = shard;
    }
  } else {
    const std::size_t index =
        m_round_robins[pending.route->name].Next(pending.route->services);
    pending.parts.emplace_back().service =
        pending.route->services[index].service;
    pending.trace.service = pending.parts.front().service;
  }
  pending.open_parts = pending.parts.size();
  pending.trace.shards = static_cast<std::uint32_t>(pending.parts.size());
  SetDeadlines(pending);
  return true;
}

std::uint64_t Forwarder::PartBytes(const Route& route) {
  const std::uint64_t shards = route.fans_out() ? route.shards.size() : 1;
  return shards *
         (sizeof(CallPart) + sizeof(PendingAttempt) + kPartTextBytes +
          kSpareRecordBytes + std::uint64_t{route.top_records} * kRecordBytes);
}

bool Forwarder::HoldMemory(PendingCall& pending) {
  pending.held = HeldBytes(m_call_memory);
  const std::uint64_t bytes =
      std::min(PartBytes(*pending.route), m_call_memory->limit());
  if (pending.held.TryResize(bytes)) {
    return true;
  }
  ++m_counters.refused_for_memory;
  const double jitter = 1 + kRetryAfterJitter * m_random.Unit();
  Refuse(
      pending.call, AnswerKind::kNotRun, ForwardReason::kOverload,
      Duration(static_cast<Duration::rep>(
          static_cast<double>(Duration(kNoMemoryRetryAfter).count()) * jitter)),
      pending.trace);
  return false;
}

void Forwarder::SetDeadlines(PendingCall& pending) const {
  TimePoint end = pending.call.deadline;
  if (pending.route->timeout > Duration::zero()) {
    end = std::min(end, pending.call.arrived + pending.route->timeout);
  }
  if (end == TimePoint::max()) {
    // Neither the caller nor the route set a limit.
    constexpr Duration kDefaultTimeout = std::chrono::minutes(1);
    end = pending.call.arrived + kDefaultTimeout;
  }
  pending.call.deadline = end;
  pending.final_at = std::max(end - m_options.answer_margin,
                              pending.call.arrived + Duration(1));
  pending.partial_at = pending.final_at;
  if (pending.route->fans_out() &&
      pending.route->objective > Duration::zero()) {
    pending.partial_at = std::min(
        pending.final_at, pending.call.arrived + pending.route->objective -
                              m_options.answer_margin);
  }
  LimitDeadlines(pending);
}

void Forwarder::LimitDeadlines(PendingCall& pending) const {
  pending.call.deadline = std::min(pending.call.deadline, m_answer_by);
  // The time to send the answer comes after m_answer_by.
  pending.final_at = std::min(pending.final_at, m_answer_by);
  pending.partial_at = std::min(pending.partial_at, pending.final_at);
}

void Forwarder::BeginStop(TimePoint answer_by, TimePoint now) {
  m_answer_by = answer_by;
  for (auto& [id, pending] : m_calls) {
    LimitDeadlines(pending);
    RearmTimer(pending);
  }
  for (auto& [id, pending] : m_held) {
    LimitDeadlines(pending);
  }
  CheckWaitingCalls(now);
}

std::size_t Forwarder::CountLiveShards(PendingCall& pending) const {
  std::size_t shards = 0;
  std::size_t fewest = std::numeric_limits<std::uint32_t>::max();
  for (const CallPart& part : pending.parts) {
    const std::size_t live = m_targets.CountLive(part.service);
    shards += live > 0 ? 1 : 0;
    fewest = std::min(fewest, live);
  }
  pending.trace.fewest_targets = static_cast<std::uint32_t>(fewest);
  return shards;
}

std::optional<ForwardReason> Forwarder::ReasonToRefuse(PendingCall& pending,
                                                       TimePoint now) {
  if (m_crash_guard.StateOf(pending.fingerprint, now) ==
      QuarantineState::kQuarantined) {
    return ForwardReason::kCrashesTargets;
  }
  if (CountLiveShards(pending) < pending.route->min_shards()) {
    return ForwardReason::kNoTarget;
  }
  if (IsTooLate(pending, now)) {
    return LateReason(pending);
  }
  pending.trace.expected = ExpectedDelay(pending, now);
  if (OutlastsHost(pending, now)) {
    return ForwardReason::kStopping;
  }
  if (pending.trace.expected > DelayLimit(pending)) {
    return ForwardReason::kOverload;
  }
  return std::nullopt;
}

// An assumed latency never refuses a call. A measured latency refuses one only
// while it is fresh, or while attempts of the route are in flight, which will
// correct it. Otherwise the callers of a route that was slow, or is new, would
// be refused for the lifetime of the process, because refused calls measure
// nothing. On a route that is still slow, one call at a time is admitted, so
// that little work is lost.
bool Forwarder::IsTooLate(const PendingCall& pending, TimePoint now) const {
  if (pending.final_at - now >= pending.profile->min_useful_time()) {
    return false;
  }
  return pending.profile->IsFresh(now) ||
         std::ranges::any_of(m_attempts, [&](const auto& item) {
           return item.second.profile == pending.profile;
         });
}

bool Forwarder::IsLimitedByStop(const PendingCall& pending) const {
  return m_answer_by != TimePoint::max() &&
         pending.call.deadline == m_answer_by;
}

ForwardReason Forwarder::LateReason(const PendingCall& pending) const {
  return IsLimitedByStop(pending) ? ForwardReason::kStopping
                                  : ForwardReason::kDeadline;
}

bool Forwarder::OutlastsHost(const PendingCall& pending, TimePoint now) const {
  // The end of the host does not cut off a call with an earlier deadline. An
  // assumed latency may refuse here, since another host serves the caller.
  return IsLimitedByStop(pending) &&
         now + pending.trace.expected + pending.profile->slow_answer_time() >
             pending.final_at;
}

// The delay is zero while a slot is free. Past latencies alone must not count:
// after an overload they are high, refusals would prevent new measurements, and
// the hosts would refuse calls forever although the targets are idle.
Duration Forwarder::QueueDelay(const PendingCall& pending,
                               const ServiceId& service,
                               const TargetChoice& choice,
                               TimePoint now) const {
  if (choice.target == nullptr) {
    // If neither a target nor the route was measured, no wait is known and it
    // counts as zero: the call waits for capacity, and is refused if it finds
    // none.
    const LatencyEstimate route_latency = pending.profile->route_latency();
    const Duration known =
        route_latency.is_measured() ? route_latency.mean : Duration::zero();
    return m_targets.MeanServedLatency(service, known) * kNoCapacityMeanFactor;
  }
  return choice.target->Occupancy(now) < 1 ? Duration::zero() : choice.expected;
}

TargetCriteria Forwarder::CriteriaFor(const PendingCall& pending,
                                      const ServiceId& service,
                                      const TargetShare& share) const {
  TargetCriteria criteria;
  criteria.service = service;
  criteria.route_latency = pending.profile->route_latency();
  criteria.share = share;
  criteria.required = NeedsEachShard(pending);
  criteria.cold_rate = pending.config->ColdRate(service);
  criteria.objective = pending.route->objective;
  return criteria;
}

Duration Forwarder::ExpectedDelay(PendingCall& pending, TimePoint now) {
  pending.trace.full_shards = 0;
  pending.trace.shards_without_capacity = 0;
  std::vector<Duration> delays;
  delays.reserve(pending.parts.size());
  for (const CallPart& part : pending.parts) {
    const TargetChoice choice = m_targets.Pick(
        CriteriaFor(pending, part.service, ShareOf(pending, part.service)),
        now);
    delays.push_back(QueueDelay(pending, part.service, choice, now));
    pending.trace.full_shards += delays.back() > Duration::zero() ? 1 : 0;
    pending.trace.shards_without_capacity += choice.target == nullptr ? 1 : 0;
  }
  if (IsLocalOverload(pending.trace)) {
    // Concurrent calls at this host use up its share of the targets of a shard,
    // but that capacity is free again within the time of one answer, so only
    // the queue at the targets counts. Otherwise calls would occasionally be
    // refused at low load.
    for (std::size_t index = 0; index < delays.size(); ++index) {
      if (delays[index] > Duration::zero()) {
        const ServiceId& service = pending.parts[index].service;
        const TargetChoice choice =
            m_targets.Pick(CriteriaFor(pending, service, kUnboundedShare), now);
        delays[index] =
            std::min(delays[index], QueueDelay(pending, service, choice, now));
      }
    }
  }
  // Shards that the answer can do without do not delay it.
  std::ranges::sort(delays);
  return delays[pending.route->min_shards() - 1];
}

Duration Forwarder::RetryAfterFor(ForwardReason reason,
                                  const PendingCall& pending,
                                  TimePoint now) {
  switch (reason) {
    case ForwardReason::kNoTarget:
      return ShardsBackAt(pending, now).value_or(now + kNoTargetRetryAfter) -
             now;
    case ForwardReason::kStopping:
      return Duration::zero();  // Another host serves the caller at once.
    case ForwardReason::kCrashesTargets:
      return m_crash_guard.QuarantinedUntil(pending.fingerprint, now)
                 .value_or(now + kSuspectRetryAfter) -
             now;
    default:
      break;
  }
  if (MayQueue(pending)) {
    return m_admission.RetryAfter(pending.parts.front().service,
                                  pending.trace.expected,
                                  pending.final_at - now, now);
  }
  // The queue has drained about when the work in it is done, which takes the
  // expected delay.
  const Duration drain_time =
      std::clamp(pending.trace.expected, kMinRetryAfter, kMaxRetryAfter);
  const double jitter = 1 + kRetryAfterJitter * m_random.Unit();
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(drain_time.count()) * jitter));
}

void Forwarder::RefuseNotRun(const PendingCall& pending,
                             ForwardReason reason,
                             TimePoint now) {
  Refuse(pending.call, AnswerKind::kNotRun, reason,
         RetryAfterFor(reason, pending, now), pending.trace);
}

void Forwarder::Refuse(const ForwardCall& call,
                       AnswerKind kind,
                       ForwardReason reason,
                       std::optional<Duration> retry_after,
                       const CallTrace& trace) {
  ForwardAnswer answer;
  answer.kind = kind;
  answer.reason = reason;
  answer.retry_after = retry_after;
  m_port.Deliver(call.id, std::move(answer), trace);
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
  UpdateBudgetShare(budget);
  return budget;
}

}  // namespace jacinthdeck
