// Sends attempts, and decides whether a part gets another one.
#include <algorithm>
#include <utility>

#include "jacinthdeck/forward/forwarder.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! Number of attempts that a part may send beyond max_attempts. An attempt that
//! a target refused, or whose connection could not be opened, was not executed,
//! so the next target may be tried.
constexpr std::uint32_t kMaxUnexecutedAttempts = 3;
//! Number of hosts added when the connections of a target are divided among the
//! hosts. A host that is stopping is no longer counted but still holds its
//! connections, and a target resets connections at random beyond its limit.
constexpr std::uint32_t kUncountedHosts = 1;
//! Pause before a target is looked for again when none has capacity.
constexpr Duration kNoCapacityPause = milliseconds(4);
//! Minimum pause before a target is looked for again for a hedge. With a single
//! try, most shards that end up missing would have had no second attempt
//! although the budget was not exhausted.
constexpr Duration kHedgeRetryPause = milliseconds(6);
//! Divisor of the mean latency that gives a longer pause for hedges: where work
//! takes long, capacity becomes free less often.
constexpr int kHedgeRetryMeanDivisor = 4;
//! Divisor of the objective: for this part of it a call may wait for capacity.
//! After that, its caller is better served elsewhere.
constexpr int kCapacityWaitDivisor = 4;

/*! \brief Returns how long after its arrival a call may wait for capacity. */
[[nodiscard]] Duration CapacityWaitLimit(const internal::PendingCall& pending) {
  Duration limit = pending.partial_at - pending.call.arrived;
  if (pending.route->objective > Duration::zero()) {
    limit = std::min(limit, pending.route->objective);
  }
  return limit / kCapacityWaitDivisor;
}

/**
 * \brief Returns whether the target recently left an attempt of this call
 * unanswered.
 *
 * A killed target refuses connections immediately. Calls that retried it just
 * as fast would spend all their attempts on closed ports, and miss the shard
 * although another target is free soon after.
 */
[[nodiscard]] bool HasFailedThisCall(const internal::CallPart& part,
                                     const TrackedTarget& target,
                                     TimePoint now) {
  return target.IsUnresponsive(now) &&
         std::ranges::find(part.tried, target.entry().id) != part.tried.end();
}

}  // namespace

Duration Forwarder::UsefulTime(const PendingCall& pending,
                               AttemptReason reason,
                               TimePoint now) const {
  const TimePoint end =
      now < pending.partial_at ? pending.partial_at : pending.final_at;
  if (reason == AttemptReason::kHedge) {
    return end - now;
  }
  // The call waits for a shard that the answer needs, even beyond the
  // objective.
  return NeedsEachShard(pending) ? Duration::max() : end - now;
}

bool Forwarder::NeedsEachShard(const PendingCall& pending) {
  const std::size_t possible = pending.answered + pending.open_parts;
  return possible <= pending.route->min_shards();
}

TargetShare Forwarder::ShareOf(const PendingCall& pending,
                               const ServiceId& service) const {
  return {.connections = ConnectionLimit(*pending.config, service),
          .hosts = m_hosts};
}

std::uint32_t Forwarder::ConnectionLimit(const RoutingConfig& config,
                                         const ServiceId& service) const {
  if (!m_has_share) {
    return 1;
  }
  const std::uint32_t holders = m_hosts + kUncountedHosts;
  return std::max(config.TargetConnections(service) / holders, 1U);
}

void Forwarder::TrySendAttempt(PendingCall& pending,
                               std::size_t part_index,
                               AttemptReason reason,
                               TimePoint now) {
  CallPart& part = pending.parts[part_index];
  if (!PassesCrashGuard(pending, part, now)) {
    return;
  }
  if (reason == AttemptReason::kHedge && pending.parts.size() > 1) {
    pending.retry_gate.OnHedgeDue();
  }
  // A target that returned an error did not end under the request.
  if (pending.retry_gate.MustWait(now) && !part.response) {
    HoldPart(pending, part, now);
    part.held = true;
    pending.held_until = now;
    return;
  }
  const bool extra = part.attempts_arrived > 0;
  AttemptBudget& budget = BudgetOf(part.service);
  if (extra && !budget.CanSpend(now)) {
    ++m_counters.budget_refusals;
    ++pending.trace.budget_refusals;
    if (part.in_flight.empty()) {
      GiveUp(pending, part, part.reason);
    }
    return;
  }
  TargetCriteria criteria =
      CriteriaFor(pending, part.service, ShareOf(pending, part.service));
  criteria.tried = part.tried;
  criteria.reason = reason;
  criteria.useful_time = UsefulTime(pending, reason, now);
  const TargetChoice choice = m_targets.Pick(criteria, now);
  if (choice.target == nullptr ||
      HasFailedThisCall(part, *choice.target, now)) {
    OnNoTarget(pending, part, now);
    return;
  }
  if (IsSuspect(pending, now) &&
      m_crash_guard.RunsProbe(choice.target->entry().id)) {
    HoldPart(pending, part, now);
    return;
  }
  const bool paid = extra && budget.TrySpend(now);
  SendAttempt(pending, part_index, criteria, *choice.target, paid, now);
}

void Forwarder::OnNoTarget(PendingCall& pending,
                           CallPart& part,
                           TimePoint now) {
  if (!part.in_flight.empty()) {
    // The first attempt may still be answered, so the hedge waits for capacity
    // instead of being dropped.
    if (MaySendAgain(pending, part, now)) {
      part.hedge_at =
          now + std::max(kHedgeRetryPause,
                         pending.profile->mean() / kHedgeRetryMeanDivisor);
    }
    return;
  }
  const TimePoint latest = std::max(pending.call.arrived, pending.held_until) +
                           CapacityWaitLimit(pending);
  if (m_targets.CountLive(part.service) == 0) {
    const auto probed_at = NextProbeResult(part.service, now);
    if (!probed_at || *probed_at > latest) {
      GiveUp(pending, part, ForwardReason::kNoTarget);
      return;
    }
    part.retry_at = std::max(*probed_at, now + kNoCapacityPause);
    return;
  }
  if (now > latest) {
    const bool failed = part.reason == ForwardReason::kTargetsFailed;
    GiveUp(pending, part,
           failed ? ForwardReason::kTargetsFailed : ForwardReason::kOverload);
    return;
  }
  part.retry_at = now + kNoCapacityPause;
}

void Forwarder::SendAttempt(PendingCall& pending,
                            std::size_t part_index,
                            const TargetCriteria& criteria,
                            TrackedTarget& target,
                            bool paid,
                            TimePoint now) {
  CallPart& part = pending.parts[part_index];
  const AttemptReason reason = criteria.reason;
  const AttemptId id(m_next_attempt++);
  const bool canary = pending.retry_gate.NeedsCanary(now);
  if (canary) {
    ++m_counters.canaries;
    pending.retry_gate.OnCanarySent(id, now + pending.profile->hedge_delay());
  }
  const PendingAttempt& attempt =
      m_attempts
          .emplace(id,
                   PendingAttempt{pending.call.id, part_index, &target,
                                  pending.profile, now, reason, paid,
                                  pending.fingerprint, IsSuspect(pending, now)})
          .first->second;
  m_crash_guard.OnSent(GuardedOf(attempt));
  target.OnSend(id, pending.profile->silence_timeout(), criteria.required, now);
  part.tried.push_back(target.entry().id);
  part.in_flight.push_back(id);
  ++part.runs;
  ++part.attempts_arrived;
  ++part.attempts_sent;
  ++m_counters.attempts[static_cast<std::size_t>(reason)];
  if (target.entry().domain != m_options.domain) {
    ++m_counters.attempts_other_domains[static_cast<std::size_t>(reason)];
  }
  part.held = false;
  part.hedge_at.reset();
  if (MaySendAgain(pending, part, now)) {
    part.hedge_at = now + pending.profile->hedge_delay();
  }
  pending.trace.attempts.push_back(
      AttemptTrace{.id = id,
                   .shard = static_cast<std::uint32_t>(part_index),
                   .target = target.entry().id,
                   .reason = reason,
                   .sent = now - pending.call.arrived});
  m_port.Send(OutgoingAttempt{
      id, target.entry(), pending.call.request, pending.call.deadline,
      ConnectionLimit(*pending.config, part.service),
      pending.route->repeat == RepeatRule::kAtMostOnce, !m_has_share});
}

bool Forwarder::MaySendAgain(const PendingCall& pending,
                             const CallPart& part,
                             TimePoint now) const {
  const bool may_repeat =
      pending.route->repeat == RepeatRule::kIdempotent || part.runs == 0;
  return may_repeat && part.runs < pending.route->max_attempts &&
         part.attempts_sent <
             pending.route->max_attempts + kMaxUnexecutedAttempts &&
         now + pending.profile->min_useful_time() < pending.final_at;
}

void Forwarder::RetryOrGiveUp(PendingCall& pending,
                              std::size_t part_index,
                              TimePoint now) {
  CallPart& part = pending.parts[part_index];
  // A status below 500 reports a fault of the request itself, which another
  // target would report too.
  const bool is_client_error =
      part.response && !part.response->is_server_error();
  if (!is_client_error && MaySendAgain(pending, part, now)) {
    TrySendAttempt(pending, part_index,
                   part.attempts_arrived == 0 ? AttemptReason::kFirst
                                              : AttemptReason::kRetry,
                   now);
    return;
  }
  if (part.in_flight.empty()) {
    GiveUp(pending, part, part.reason);
  }
}

}  // namespace jacinthdeck
