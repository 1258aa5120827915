// Attempts: sending, and whether there is another one.
#include <algorithm>
#include <utility>

#include "jacinthdeck/forward/forwarder.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! Attempts of a part beyond those that may run: refusals and connections that
//! could not be opened leave the next target free to be tried.
constexpr std::uint32_t kSpareSends = 3;
//! A host that is stopping is no longer counted, but still holds its
//! connections; beyond the limit a target resets them at random.
constexpr std::uint32_t kHoldersNotCounted = 1;
//! Pause before a target is looked for again when none has a place.
constexpr Duration kNoPlacePause = milliseconds(4);
//! The same for a hedge. Looked for once, most shards that go missing would
//! have no second attempt although the budget has room.
constexpr Duration kHedgePause = milliseconds(6);
//! Where work takes long, places come free that much more rarely.
constexpr int kHedgePauseMeans = 4;
//! Part of the objective for which a call may look for a place; after that its
//! caller is better off elsewhere.
constexpr int kNoPlacePart = 4;

/*! \brief Time from its arrival for which a call may look for a place. */
[[nodiscard]] Duration PatienceOf(const internal::PendingCall& open) {
  Duration whole = open.partial_at - open.call.arrived;
  if (open.route->objective > Duration::zero()) {
    whole = std::min(whole, open.route->objective);
  }
  return whole / kNoPlacePart;
}

/**
 * \brief Tells whether a target let this very call down a moment ago.
 *
 * A killed target refuses a connection at once. Calls that asked again as fast
 * would spend all their attempts on closed ports, and miss the shard although
 * another target is free soon after.
 */
[[nodiscard]] bool HasLeftUnanswered(const internal::CallPart& part,
                                     const TrackedTarget& target,
                                     TimePoint now) {
  return target.IsDoubtful(now) &&
         std::ranges::find(part.tried, target.entry().id) != part.tried.end();
}

}  // namespace

Duration Forwarder::UsefulTime(const PendingCall& open,
                               AttemptReason reason,
                               TimePoint now) const {
  const TimePoint end = now < open.partial_at ? open.partial_at : open.final_at;
  if (reason == AttemptReason::kHedge) {
    return end - now;
  }
  // A shard that the answer needs is waited for, also beyond the objective.
  return NeedsEachShard(open) ? Duration::max() : end - now;
}

bool Forwarder::NeedsEachShard(const PendingCall& open) {
  const std::size_t hopeful = open.answered + open.unsettled;
  return hopeful <= open.route->min_shards();
}

TargetShare Forwarder::ShareOf(const PendingCall& open,
                               const ServiceId& service) const {
  return {.connections = ConnectionLimit(open, service), .hosts = m_hosts};
}

std::uint32_t Forwarder::ConnectionLimit(const PendingCall& open,
                                         const ServiceId& service) const {
  if (!m_has_share) {
    return 1;
  }
  const std::uint32_t holders = m_hosts + kHoldersNotCounted;
  return std::max(open.config->TargetConnections(service) / holders, 1U);
}

void Forwarder::SendPart(PendingCall& open,
                         std::size_t part_index,
                         AttemptReason reason,
                         TimePoint now) {
  CallPart& part = open.parts[part_index];
  const bool extra = part.arrivals > 0;
  AttemptBudget& budget = BudgetOf(part.service);
  if (extra && !budget.HasRoom(now)) {
    ++m_counters.budget_refusals;
    ++open.story.budget_refusals;
    if (part.in_flight.empty()) {
      GiveUp(open, part, part.reason);
    }
    return;
  }
  TargetCriteria need = NeedOf(open, part.service, ShareOf(open, part.service));
  need.tried = part.tried;
  need.reason = reason;
  need.useful = UsefulTime(open, reason, now);
  const TargetChoice choice = m_targets.Pick(need, now);
  if (choice.target == nullptr ||
      HasLeftUnanswered(part, *choice.target, now)) {
    OnNoTarget(open, part, now);
    return;
  }
  const bool paid = extra && budget.TrySpend(now);
  Launch(open, part_index, need, *choice.target, paid, now);
}

void Forwarder::OnNoTarget(PendingCall& open, CallPart& part, TimePoint now) {
  if (!part.in_flight.empty()) {
    // The first attempt may still be answered, so the hedge can wait for a
    // place instead of being given up.
    if (MaySendAgain(open, part, now)) {
      part.hedge_at =
          now + std::max(kHedgePause, open.profile->mean() / kHedgePauseMeans);
    }
    return;
  }
  const bool live = m_targets.Live(part.service) > 0;
  if (!live || now - open.call.arrived > PatienceOf(open)) {
    const bool failed = part.reason == ForwardReason::kTargetsFailed;
    const ForwardReason full =
        failed ? ForwardReason::kTargetsFailed : ForwardReason::kOverload;
    GiveUp(open, part, live ? full : ForwardReason::kNoTarget);
    return;
  }
  part.retry_at = now + kNoPlacePause;
}

void Forwarder::Launch(PendingCall& open,
                       std::size_t part_index,
                       const TargetCriteria& need,
                       TrackedTarget& target,
                       bool paid,
                       TimePoint now) {
  CallPart& part = open.parts[part_index];
  const AttemptReason reason = need.reason;
  const AttemptId id(m_next_attempt++);
  m_attempts.emplace(
      id, PendingAttempt{open.call.id, part_index, &target, open.profile, now,
                         reason, paid, open.fingerprint});
  target.OnSend(id, open.profile->late_after(), need.needed, now);
  part.tried.push_back(target.entry().id);
  part.in_flight.push_back(id);
  ++part.runs;
  ++part.arrivals;
  ++part.sends;
  ++m_counters.attempts[static_cast<std::size_t>(reason)];
  if (target.entry().domain != m_options.domain) {
    ++m_counters.attempts_other_domains[static_cast<std::size_t>(reason)];
  }
  part.hedge_at.reset();
  if (MaySendAgain(open, part, now)) {
    part.hedge_at = now + open.profile->hedge_delay();
  }
  open.story.attempts.push_back(
      AttemptTrace{.id = id,
                   .shard = static_cast<std::uint32_t>(part_index),
                   .target = target.entry().id,
                   .reason = reason,
                   .sent = now - open.call.arrived});
  m_port.Send(OutgoingAttempt{
      id, target.entry(), open.call.request, open.call.deadline,
      ConnectionLimit(open, part.service),
      open.route->repeat == RepeatRule::kAtMostOnce, !m_has_share});
}

bool Forwarder::MaySendAgain(const PendingCall& open,
                             const CallPart& part,
                             TimePoint now) const {
  const bool repeatable =
      open.route->repeat == RepeatRule::kIdempotent || part.runs == 0;
  const bool endangers = open.lost > 0 && open.answered == 0 &&
                         m_crashes.IsSuspect(open.fingerprint, now);
  return repeatable && part.runs < open.route->max_attempts &&
         part.sends < open.route->max_attempts + kSpareSends &&
         now + open.profile->least_time() < open.final_at && !endangers;
}

void Forwarder::Retry(PendingCall& open,
                      std::size_t part_index,
                      TimePoint now) {
  CallPart& part = open.parts[part_index];
  // A target that answers with a fault of the request's own would do so again
  // elsewhere.
  constexpr int kFirstServerError = 500;
  const bool callers_fault =
      part.response && part.response->status < kFirstServerError;
  if (!callers_fault && MaySendAgain(open, part, now)) {
    SendPart(open, part_index,
             part.arrivals == 0 ? AttemptReason::kFirst : AttemptReason::kRetry,
             now);
    return;
  }
  if (part.in_flight.empty()) {
    GiveUp(open, part, part.reason);
  }
}

}  // namespace jacinthdeck
