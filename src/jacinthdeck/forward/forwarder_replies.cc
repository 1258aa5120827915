// How attempts end, and what is learned of their targets.
#include <algorithm>

#include "jacinthdeck/forward/forwarder.h"

namespace jacinthdeck {

namespace {

//! One in so many shards of a call are its last ones.
constexpr std::size_t kLastShards = 10;

}  // namespace

void Forwarder::OnAttemptEnd(AttemptEnd& end, TimePoint now) {
  const auto found = m_attempts.find(end.id);
  if (found == m_attempts.end()) {
    return;
  }
  const PendingAttempt attempt = found->second;
  m_attempts.erase(found);
  m_stale_attempts.Remove(end.id);
  ++m_counters.outcomes[static_cast<std::size_t>(end.outcome)];
  Learn(attempt, end, now);
  const auto open = m_calls.find(attempt.call);
  if (open != m_calls.end()) {
    TakeEnd(open->second, attempt, end, now);
  }
}

void Forwarder::Learn(const PendingAttempt& attempt,
                      const AttemptEnd& end,
                      TimePoint now) {
  TrackedTarget& target = *attempt.target;
  switch (end.outcome) {
    case AttemptOutcome::kResponse:
      if (end.response.succeeded()) {
        const Duration latency = now - attempt.sent;
        target.OnAnswer(end.id, latency, attempt.profile->route_latency(), now);
        attempt.profile->Add(latency, now);
      } else {
        target.OnFailure(end.id, now);
      }
      break;
    case AttemptOutcome::kNotExecuted:
      target.OnShed(end.id, now);
      break;
    case AttemptOutcome::kWrongTarget:
      // Its address has a new owner; the registry will say so.
      target.OnLost(end.id, now);
      target.SetGone();
      break;
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kBroken:
      target.OnLost(end.id, now);
      break;
  }
  if (end.load) {
    target.OnLoad(*end.load, now);
  }
}

void Forwarder::Note(PendingCall& open, const AttemptEnd& end, TimePoint now) {
  const auto note =
      std::ranges::find(open.story.attempts, end.id, &AttemptTrace::id);
  if (note == open.story.attempts.end()) {
    return;
  }
  note->took = now - open.call.arrived - note->sent;
  note->outcome = end.outcome;
  note->status = end.response.status;
}

void Forwarder::TakeEnd(PendingCall& open,
                        const PendingAttempt& attempt,
                        AttemptEnd& end,
                        TimePoint now) {
  Note(open, end, now);
  CallPart& part = open.parts[attempt.part];
  std::erase(part.in_flight, end.id);
  if (part.phase != internal::PartPhase::kOpen) {
    return;
  }
  switch (end.outcome) {
    case AttemptOutcome::kResponse:
      TakeResponse(open, part, end, now);
      break;
    case AttemptOutcome::kNotSent:
      --part.arrivals;
      --part.runs;
      if (attempt.paid) {
        BudgetOf(part.service).Refund(now);
      }
      part.reason = ForwardReason::kTargetsFailed;
      break;
    case AttemptOutcome::kNotExecuted:
    case AttemptOutcome::kWrongTarget:
      --part.runs;
      part.reason = ForwardReason::kOverload;
      break;
    case AttemptOutcome::kBroken:
      part.reason = ForwardReason::kTargetsFailed;
      open.lost += end.connection_lost ? 1 : 0;
      break;
  }
  if (part.phase == internal::PartPhase::kOpen) {
    Retry(open, attempt.part, now);
  }
  Settle(open, now);
}

void Forwarder::TakeResponse(PendingCall& open,
                             CallPart& part,
                             AttemptEnd& end,
                             TimePoint now) {
  const bool whole = !end.response.stamp.empty() && !end.response.encoded;
  if (end.response.succeeded() && whole) {
    part.response = std::move(end.response);
    part.phase = internal::PartPhase::kAnswered;
    ++open.answered;
    --open.unsettled;
    m_crashes.OnAnswered(open.fingerprint, now);
    HedgeLastShards(open, now);
    return;
  }
  part.reason = ForwardReason::kTargetsFailed;
  if (!end.response.succeeded()) {
    part.response = std::move(end.response);
  }
}

// Over dozens of shards some target always stands still, and an answer that
// waits for it and then for its hedge is late or lacks the shard. Once nearly
// all shards are in, the rest are known to be late, and their hedges cost a few
// attempts a call; hedges sent that early for all shards would cost many.
void Forwarder::HedgeLastShards(PendingCall& open, TimePoint now) {
  const std::size_t last = open.parts.size() / kLastShards;
  if (open.unsettled == 0 || open.unsettled > last) {
    return;
  }
  const TimePoint from =
      std::max(now, open.call.arrived + open.profile->mean());
  for (CallPart& part : open.parts) {
    const bool waits = part.phase == internal::PartPhase::kOpen &&
                       part.arrivals == 1 && part.hedge_at.has_value();
    if (waits) {
      part.hedge_at = std::min(*part.hedge_at, from);
    }
  }
}

void Forwarder::CancelAttempt(AttemptId id, TimePoint now) {
  const auto found = m_attempts.find(id);
  if (found == m_attempts.end()) {
    return;
  }
  found->second.target->OnCancel(id, now);
  m_attempts.erase(found);
  m_stale_attempts.Remove(id);
  ++m_counters.cancelled;
  m_port.Cancel(id);
}

}  // namespace jacinthdeck
