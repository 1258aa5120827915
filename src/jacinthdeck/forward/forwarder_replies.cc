// Processes the ends of attempts, and updates what is known of their targets.
#include <algorithm>

#include "jacinthdeck/forward/forwarder.h"
#include "jacinthdeck/forward/top_records.h"

namespace jacinthdeck {

namespace {

//! The last shards of a call are hedged early once at most one in this many of
//! its shards has not answered.
constexpr std::size_t kLastShardsDivisor = 10;

//! Drops what the merged answer does not need of the response for a part.
void KeepRecords(TargetResponse& response, std::size_t count) {
  response.reason.clear();
  response.headers.clear();
  const std::size_t kept_bytes = count * kRecordBytes;
  if (!response.succeeded()) {
    std::string().swap(response.body);
  } else if (response.body.size() > kept_bytes + kSpareRecordBytes) {
    const std::string_view body = response.body;
    std::string records = TopRecords({&body, 1}, count);
    response.body.swap(records);
  }
}

}  // namespace

void Forwarder::OnAttemptEnd(AttemptEnd& end, TimePoint now) {
  const auto found = m_attempts.find(end.id);
  if (found == m_attempts.end()) {
    return;
  }
  PendingAttempt attempt = found->second;
  m_attempts.erase(found);
  m_stale_attempts.Remove(end.id);
  ++m_counters.outcomes[static_cast<std::size_t>(end.outcome)];
  UpdateTarget(attempt, end, now);
  MakeCanaryProbe(attempt, end, now);
  UpdateCrashGuard(attempt, end, now);
  const auto pending = m_calls.find(attempt.call);
  if (end.connection_lost) {
    RecordLostAttempt(end.id, attempt, pending == m_calls.end(), now);
  }
  if (pending != m_calls.end()) {
    HandleAttemptEnd(pending->second, attempt, end, now);
  }
}

void Forwarder::RecordLostAttempt(AttemptId id,
                                  const PendingAttempt& attempt,
                                  bool after_call,
                                  TimePoint now) {
  if (!after_call) {
    ++m_counters.lost_during_call;
    return;
  }
  ++m_counters.lost_after_call;
  const TargetEntry& target = attempt.target->entry();
  m_port.OnAttemptLost({.attempt = id,
                        .fingerprint = attempt.fingerprint,
                        .target = target.id,
                        .service = target.service,
                        .took = now - attempt.sent});
}

void Forwarder::UpdateTarget(const PendingAttempt& attempt,
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
      // The address belongs to another target now; the registry will report
      // that.
      target.OnLost(end.id, now);
      target.MarkRemoved();
      break;
    case AttemptOutcome::kNotSent:
      target.OnLost(end.id, now);
      if (end.unreachable || end.reset) {
        OnConnectionRefused(target, now - attempt.sent, now);
      }
      break;
    case AttemptOutcome::kBroken:
      target.OnLost(end.id, now);
      break;
  }
  if (end.load) {
    target.OnLoad(*end.load, now);
  }
}

void Forwarder::TraceEnd(PendingCall& pending,
                         const AttemptEnd& end,
                         TimePoint now) {
  const auto attempt =
      std::ranges::find(pending.trace.attempts, end.id, &AttemptTrace::id);
  if (attempt == pending.trace.attempts.end()) {
    return;
  }
  attempt->took = now - pending.call.arrived - attempt->sent;
  attempt->outcome = end.outcome;
  attempt->status = end.response.status;
}

// A canary that broke says something of its request only if no other shard has
// answered it.
void Forwarder::UpdateRetryGate(PendingCall& pending,
                                const AttemptEnd& end,
                                TimePoint now) {
  if (pending.parts.size() == 1) {
    return;  // No other shard could lose a target.
  }
  RetryGate& gate = pending.retry_gate;
  if (end.outcome == AttemptOutcome::kBroken) {
    gate.OnBroken();
  }
  const bool is_response = end.outcome == AttemptOutcome::kResponse;
  if (is_response && end.response.answers_request()) {
    if (gate.OnAnswered(end.id)) {
      ReleaseHeldParts(pending, now);
      RearmTimer(pending);
    }
  } else if (end.outcome != AttemptOutcome::kBroken || pending.answered > 0) {
    gate.OnInconclusive(end.id);
  }
}

void Forwarder::HandleAttemptEnd(PendingCall& pending,
                                 const PendingAttempt& attempt,
                                 AttemptEnd& end,
                                 TimePoint now) {
  TraceEnd(pending, end, now);
  CallPart& part = pending.parts[attempt.part];
  std::erase(part.in_flight, end.id);
  UpdateRetryGate(pending, end, now);
  if (part.phase != internal::PartPhase::kOpen) {
    return;
  }
  switch (end.outcome) {
    case AttemptOutcome::kResponse:
      HandleResponse(pending, part, end, now);
      break;
    case AttemptOutcome::kNotSent:
      --part.attempts_arrived;
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
      break;
  }
  if (part.phase == internal::PartPhase::kOpen) {
    RetryOrGiveUp(pending, attempt.part, now);
  }
  FinishIfDone(pending, now);
}

void Forwarder::HandleResponse(PendingCall& pending,
                               CallPart& part,
                               AttemptEnd& end,
                               TimePoint now) {
  if (pending.route->fans_out()) {
    KeepRecords(end.response, pending.route->top_records);
  }
  if (end.response.succeeded() && end.response.is_intact()) {
    part.response = std::move(end.response);
    part.phase = internal::PartPhase::kAnswered;
    ++pending.answered;
    --pending.open_parts;
    HedgeLastShards(pending, now);
    return;
  }
  part.reason = ForwardReason::kTargetsFailed;
  if (!end.response.succeeded()) {
    part.response = std::move(end.response);
    if (!HoldFailure(pending, *part.response)) {
      GiveUp(pending, part, ForwardReason::kTargetsFailed);
    }
  }
}

bool Forwarder::HoldFailure(PendingCall& pending,
                            const TargetResponse& failure) {
  return pending.held.TryResize(std::min(
      PartBytes(*pending.route) + failure.bytes(), m_call_memory->limit()));
}

// With dozens of shards some target is always paused, and an answer that waits
// for it and then for its hedge is late or lacks the shard. Once nearly all
// shards have answered, the others are known to be late, and their hedges cost
// a few attempts per call; hedges sent that early for all shards would cost
// many.
void Forwarder::HedgeLastShards(PendingCall& pending, TimePoint now) {
  const std::size_t max_last_shards = pending.parts.size() / kLastShardsDivisor;
  if (pending.open_parts == 0 || pending.open_parts > max_last_shards) {
    return;
  }
  const TimePoint earliest =
      std::max(now, pending.call.arrived + pending.profile->mean());
  for (CallPart& part : pending.parts) {
    const bool is_unhedged = part.phase == internal::PartPhase::kOpen &&
                             part.attempts_arrived == 1 &&
                             part.hedge_at.has_value();
    if (is_unhedged) {
      part.hedge_at = std::min(*part.hedge_at, earliest);
    }
  }
}

void Forwarder::CancelAttempt(AttemptId id,
                              TimePoint resolve_at,
                              TimePoint now) {
  const auto found = m_attempts.find(id);
  if (found == m_attempts.end()) {
    return;
  }
  found->second.target->OnCancel(id, now);
  RecordUnanswered(found->second, false, resolve_at, now);
  m_attempts.erase(found);
  m_stale_attempts.Remove(id);
  ++m_counters.cancelled;
  m_port.Cancel(id);
}

}  // namespace jacinthdeck
