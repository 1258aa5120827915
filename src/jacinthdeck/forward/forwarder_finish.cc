// Ends parts and calls, and builds the answers.
#include <algorithm>
#include <utility>
#include <vector>

#include "jacinthdeck/forward/forwarder.h"
#include "jacinthdeck/forward/top_records.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! How long the remaining attempts of an answered call may continue. The
//! connection of one that ends in this time stays usable, and a target that
//! resumes after a pause is known to be back.
constexpr Duration kRemainingAttemptGrace = milliseconds(350);

}  // namespace

void Forwarder::GiveUp(PendingCall& pending,
                       CallPart& part,
                       ForwardReason reason) {
  part.phase = internal::PartPhase::kGivenUp;
  part.reason = reason;
  part.hedge_at.reset();
  part.retry_at.reset();
  --pending.open_parts;
}

void Forwarder::FinishIfDone(PendingCall& pending, TimePoint now) {
  const std::size_t reachable = pending.answered + pending.open_parts;
  const bool cannot_succeed = reachable < pending.route->min_shards();
  const bool partial = now >= pending.partial_at &&
                       pending.answered >= pending.route->min_shards();
  if (pending.open_parts == 0 || cannot_succeed || partial) {
    Finish(pending, now);
  } else {
    RearmTimer(pending);
  }
  // Called after each end of an attempt of an open call, which may leave room.
  OnRoom(now);
}

void Forwarder::Finish(PendingCall& pending, TimePoint now) {
  ForwardAnswer answer = MakeAnswer(pending, now);
  pending.trace.answered = static_cast<std::uint32_t>(pending.answered);
  for (std::size_t part = 0; part < pending.parts.size(); ++part) {
    if (pending.parts[part].phase != internal::PartPhase::kAnswered) {
      pending.trace.missing.push_back(static_cast<std::uint32_t>(part));
    }
  }
  m_port.Deliver(pending.call.id, std::move(answer), pending.trace);
  RemoveCall(pending, now);
}

ForwardAnswer Forwarder::MakeAnswer(PendingCall& pending, TimePoint now) {
  if (pending.answered < pending.route->min_shards()) {
    return MakeFailureAnswer(pending, now);
  }
  if (pending.route->fans_out()) {
    return MakeMergedAnswer(pending);
  }
  ForwardAnswer answer;
  answer.kind = AnswerKind::kResponse;
  answer.response = std::move(*pending.parts.front().response);
  return answer;
}

ForwardAnswer Forwarder::MakeMergedAnswer(PendingCall& pending) const {
  ForwardAnswer answer;
  answer.kind = AnswerKind::kMerged;
  std::vector<std::string_view> bodies;
  for (const CallPart& part : pending.parts) {
    if (part.phase != internal::PartPhase::kAnswered) {
      ++answer.missing_parts;
      continue;
    }
    answer.part_stamps.push_back(part.response->stamp);
    bodies.push_back(part.response->body);
  }
  answer.records = TopRecords(bodies, pending.route->top_records);
  answer.reason =
      answer.missing_parts > 0 ? ForwardReason::kLeftOut : ForwardReason::kNone;
  return answer;
}

ForwardAnswer Forwarder::MakeFailureAnswer(PendingCall& pending,
                                           TimePoint now) {
  ForwardAnswer answer;
  const bool may_have_run = internal::MayHaveRun(pending);
  const auto failed = std::ranges::find_if(
      pending.parts,
      [](const CallPart& part) { return part.reason != ForwardReason::kNone; });
  const bool late = now >= pending.final_at;
  answer.reason = late || failed == pending.parts.end()
                      ? ForwardReason::kDeadline
                      : failed->reason;
  if (!may_have_run) {
    if (late) {
      answer.reason = LateReason(pending);
    }
    answer.kind = AnswerKind::kNotRun;
    answer.retry_after = RetryAfterFor(answer.reason, pending, now);
    return answer;
  }
  CallPart& first = pending.parts.front();
  // A target that ran the request must not promise its caller the opposite, and
  // its stamp may not stand on another status.
  if (!pending.route->fans_out() && first.response && first.in_flight.empty() &&
      !first.response->promises_not_run()) {
    answer.kind = AnswerKind::kResponse;
    answer.response = std::move(*first.response);
    return answer;
  }
  answer.kind = late ? AnswerKind::kTimedOut : AnswerKind::kFailed;
  return answer;
}

bool Forwarder::Abandon(CallId id, TimePoint now) {
  if (m_waiting.Remove(id)) {
    ++m_counters.abandoned;
    m_held.erase(id);
    return false;
  }
  const auto found = m_calls.find(id);
  if (found == m_calls.end()) {
    return false;
  }
  ++m_counters.abandoned;
  const bool may_have_run = internal::MayHaveRun(found->second);
  for (const CallPart& part : found->second.parts) {
    for (const AttemptId attempt : std::vector<AttemptId>(part.in_flight)) {
      AbandonAttempt(attempt, now);
    }
  }
  m_timers.Remove(id);
  m_calls.erase(found);
  return may_have_run;
}

void Forwarder::AbandonAttempt(AttemptId id, TimePoint now) {
  const auto found = m_attempts.find(id);
  if (found != m_attempts.end() && found->second.probe) {
    // The end of a probe decides whether the request is quarantined.
    m_stale_attempts.Set(id, now + kRemainingAttemptGrace);
    return;
  }
  CancelAttempt(id, now + kRemainingAttemptGrace, now);
}

void Forwarder::RemoveCall(PendingCall& pending, TimePoint now) {
  const CallId id = pending.call.id;
  for (const CallPart& part : pending.parts) {
    for (const AttemptId attempt : part.in_flight) {
      m_stale_attempts.Set(attempt, now + kRemainingAttemptGrace);
    }
  }
  m_timers.Remove(id);
  m_calls.erase(id);
}

}  // namespace jacinthdeck
