// Ends of parts and calls, and the answers.
#include <algorithm>
#include <utility>
#include <vector>

#include "jacinthdeck/forward/forwarder.h"
#include "jacinthdeck/forward/top_records.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! Time that an attempt which lost to another may go on: its connection stays
//! usable, and a target that wakes from a pause is known to be back.
constexpr Duration kLoserGrace = milliseconds(350);

}  // namespace

void Forwarder::GiveUp(PendingCall& open,
                       CallPart& part,
                       ForwardReason reason) {
  part.phase = internal::PartPhase::kGivenUp;
  part.reason = reason;
  part.hedge_at.reset();
  part.retry_at.reset();
  --open.unsettled;
}

void Forwarder::Settle(PendingCall& open, TimePoint now) {
  const std::size_t reachable = open.answered + open.unsettled;
  const bool hopeless = reachable < open.route->min_shards();
  const bool partial =
      now >= open.partial_at && open.answered >= open.route->min_shards();
  if (open.unsettled == 0 || hopeless || partial) {
    Finish(open, now);
    return;
  }
  Rearm(open);
}

void Forwarder::Finish(PendingCall& open, TimePoint now) {
  ForwardAnswer answer = AnswerOf(open, now);
  open.story.answered = static_cast<std::uint32_t>(open.answered);
  for (std::size_t part = 0; part < open.parts.size(); ++part) {
    if (open.parts[part].phase != internal::PartPhase::kAnswered) {
      open.story.missing.push_back(static_cast<std::uint32_t>(part));
    }
  }
  CountLosses(open, now);
  m_port.Deliver(open.call.id, std::move(answer), open.story);
  Close(open, now);
}

void Forwarder::CountLosses(const PendingCall& open, TimePoint now) {
  if (open.lost > 0 && open.answered == 0 &&
      m_crashes.OnCallLost(open.fingerprint, now)) {
    ++m_counters.quarantines;
    m_port.ShareQuarantine(open.fingerprint);
  }
}

ForwardAnswer Forwarder::AnswerOf(PendingCall& open, TimePoint now) {
  if (open.answered < open.route->min_shards()) {
    return FailureOf(open, now);
  }
  if (open.route->fans_out()) {
    return Merge(open);
  }
  ForwardAnswer answer;
  answer.kind = AnswerKind::kResponse;
  answer.response = std::move(*open.parts.front().response);
  return answer;
}

ForwardAnswer Forwarder::Merge(PendingCall& open) const {
  ForwardAnswer answer;
  answer.kind = AnswerKind::kMerged;
  std::vector<std::string_view> bodies;
  for (const CallPart& part : open.parts) {
    if (part.phase != internal::PartPhase::kAnswered) {
      ++answer.missing_parts;
      continue;
    }
    answer.part_stamps.push_back(part.response->stamp);
    bodies.push_back(part.response->body);
  }
  answer.records = TopRecords(bodies, open.route->top_records);
  answer.reason =
      answer.missing_parts > 0 ? ForwardReason::kLeftOut : ForwardReason::kNone;
  return answer;
}

ForwardAnswer Forwarder::FailureOf(PendingCall& open, TimePoint now) {
  ForwardAnswer answer;
  const bool may_have_run = std::ranges::any_of(
      open.parts, [](const CallPart& part) { return part.runs > 0; });
  const auto failed = std::ranges::find_if(
      open.parts,
      [](const CallPart& part) { return part.reason != ForwardReason::kNone; });
  const bool late = now >= open.final_at;
  answer.reason = late || failed == open.parts.end() ? ForwardReason::kDeadline
                                                     : failed->reason;
  if (!may_have_run) {
    answer.kind = AnswerKind::kNotRun;
    answer.retry_after = ComeBackAfter(answer.reason, open);
    return answer;
  }
  CallPart& first = open.parts.front();
  if (!open.route->fans_out() && first.response && first.in_flight.empty()) {
    answer.kind = AnswerKind::kResponse;
    answer.response = std::move(*first.response);
    return answer;
  }
  answer.kind = late ? AnswerKind::kTimedOut : AnswerKind::kFailed;
  return answer;
}

void Forwarder::Abandon(CallId id, TimePoint now) {
  const auto found = m_calls.find(id);
  if (found == m_calls.end()) {
    return;
  }
  ++m_counters.abandoned;
  CountLosses(found->second, now);
  for (const CallPart& part : found->second.parts) {
    for (const AttemptId attempt : std::vector<AttemptId>(part.in_flight)) {
      CancelAttempt(attempt, now);
    }
  }
  m_timers.Remove(id);
  m_calls.erase(found);
}

void Forwarder::Close(PendingCall& open, TimePoint now) {
  const CallId id = open.call.id;
  for (const CallPart& part : open.parts) {
    for (const AttemptId attempt : part.in_flight) {
      m_stale_attempts.Set(attempt, now + kLoserGrace);
    }
  }
  m_timers.Remove(id);
  m_calls.erase(id);
}

}  // namespace jacinthdeck
