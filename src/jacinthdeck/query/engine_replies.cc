// Ends of attempts and of calls.
#include <algorithm>
#include <array>
#include <utility>

#include "jacinthdeck/query/coverage.h"
#include "jacinthdeck/query/engine.h"
#include "jacinthdeck/query/merge.h"
#include "jacinthdeck/query/retry_after.h"

namespace jacinthdeck {

using internal::ShardPhase;

namespace internal {

//! Why a shard is missing after an attempt ended so; in the order of
//! AttemptStatus.
constexpr std::array<AnswerReason, kAttemptStatusNames.names.size()> kReasons{
    AnswerReason::kNone,          // kAnswered
    AnswerReason::kVersionGone,   // kVersionGone
    AnswerReason::kVersionGone,   // kWrongRange
    AnswerReason::kOverload,      // kShed
    AnswerReason::kNoReplica,     // kNotSent
    AnswerReason::kTargetFailed,  // kLost
    AnswerReason::kDeadline,      // kTimedOut
    AnswerReason::kTargetFailed,  // kFailed
    AnswerReason::kTargetFailed,  // kCancelled
};

[[nodiscard]] AnswerReason ReasonOf(AttemptStatus status) noexcept {
  return kReasons.at(static_cast<std::size_t>(status));
}

//! Reason of a call that ends with shards missing.
[[nodiscard]] AnswerReason ReasonOf(const OpenCall& open) noexcept {
  AnswerReason reason = AnswerReason::kNone;
  for (const ShardState& state : open.shards) {
    if (state.phase == ShardPhase::kOpen && !state.waiting) {
      return AnswerReason::kDeadline;
    }
    if (state.phase != ShardPhase::kAnswered && reason == AnswerReason::kNone) {
      reason = state.waiting ? AnswerReason::kOverload : state.reason;
    }
  }
  return reason;
}

}  // namespace internal

void Engine::OnReply(const AttemptReply& reply,
                     TimePoint now,
                     Effects& effects) {
  const auto found = m_attempts.find(reply.attempt);
  if (found == m_attempts.end()) {
    ++m_counters.late_replies;
    return;
  }
  const OpenAttempt attempt = std::move(found->second);
  m_attempts.erase(found);
  const auto latency = std::chrono::duration_cast<Duration>(now - attempt.sent);
  AttemptStatus status = reply.status;
  if (status == AttemptStatus::kAnswered &&
      (reply.version != attempt.version || reply.range != attempt.range)) {
    ++m_counters.wrong_replies;
    status = AttemptStatus::kFailed;
  }
  // A hedge whose answer was no longer wanted did not win.
  const AttemptKind kind =
      attempt.cancelled ? AttemptKind::kFirst : attempt.kind;
  m_router.Finish(AttemptResult{attempt.target, status, latency,
                                reply.reported_load, kind, reply.draining},
                  now);
  if (status == AttemptStatus::kAnswered) {
    m_fast_times.try_emplace(attempt.service, kFastQuantile)
        .first->second.Add(latency);
  }
  if (status == AttemptStatus::kVersionGone) {
    m_versions.NoteGone(attempt.service, attempt.version, attempt.target, now);
  }
  const auto call = m_calls.find(attempt.call);
  if (call == m_calls.end() || attempt.cancelled ||
      call->second.epoch != attempt.epoch) {
    ++m_counters.late_replies;
  } else {
    TakeReply(call->second, attempt, status, reply, now, effects);
  }
  PumpWaiting(attempt.target, now, effects);
}

void Engine::TakeReply(OpenCall& open,
                       const OpenAttempt& attempt,
                       AttemptStatus status,
                       const AttemptReply& reply,
                       TimePoint now,
                       Effects& effects) {
  ShardState& state = open.shards[attempt.shard];
  std::erase(state.in_flight, reply.attempt);
  open.may_have_run = open.may_have_run || !ProvesNotRun(status);
  if (status == AttemptStatus::kAnswered) {
    state.phase = ShardPhase::kAnswered;
    state.reply = ShardReply{reply.hits, reply.count};
    --open.unsettled;
    CancelShard(state, effects);
  } else {
    OnFailure(open, attempt.shard, status, now, effects);
  }
  Settle(open, effects);
}

void Engine::OnFailure(OpenCall& open,
                       std::size_t shard,
                       AttemptStatus status,
                       TimePoint now,
                       Effects& effects) {
  ShardState& state = open.shards[shard];
  state.reason = internal::ReasonOf(status);
  if (status == AttemptStatus::kVersionGone &&
      VersionIsGone(open, state, now) && Restart(open, now, effects)) {
    return;
  }
  if (!state.in_flight.empty()) {
    // The other attempt may still answer; a hedge replaces the one that failed.
    state.hedge_at = now + HedgeDelay(open);
    return ArmAt(open, *state.hedge_at);
  }
  Retry(open, shard, status, now, effects);
}

bool Engine::VersionIsGone(const OpenCall& open,
                           const ShardState& state,
                           TimePoint now) const {
  const ServiceId& service = open.call.method->service;
  const IndexVersion version = open.map->version;
  return !m_versions.Lists(service, version) ||
         std::ranges::none_of(
             state.shard->replicas, [&](const TargetId& target) {
               return m_versions.Usable(service, version, target, now);
             });
}

bool Engine::Restart(OpenCall& open, TimePoint now, Effects& effects) {
  if (open.restarts >= m_options.retry.restarts_per_call ||
      !CanStillEnd(open, now)) {
    return false;
  }
  const bool in_flight = std::ranges::any_of(
      open.shards,
      [](const ShardState& state) { return !state.in_flight.empty(); });
  if (open.call.method->repeat == Repeat::kOnce &&
      (open.may_have_run || in_flight)) {
    return false;
  }
  open.refused_versions.push_back(open.map->version);
  VersionChoice choice =
      m_versions.Choose(VersionRequest{open.call.method->service, open.call.key,
                                       open.refused_versions},
                        now);
  if (!choice.complete) {
    return false;
  }
  open.may_have_run = open.may_have_run || in_flight;
  CancelAll(open, effects);
  ++open.restarts;
  ++m_counters.restarts;
  Begin(open, std::move(choice.map), now, effects);
  return true;
}

void Engine::CancelShard(ShardState& state, Effects& effects) {
  for (const AttemptId& id : state.in_flight) {
    OpenAttempt& attempt = m_attempts.at(id);
    attempt.cancelled = true;
    effects.cancels.push_back(CancelAttempt{id, attempt.target});
  }
  state.in_flight.clear();
  if (state.waiting) {
    m_waiting.Remove(*state.waiting);
    state.waiting.reset();
  }
}

void Engine::CancelAll(OpenCall& open, Effects& effects) {
  for (ShardState& state : open.shards) {
    CancelShard(state, effects);
  }
}

void Engine::GiveUp(OpenCall& open, ShardState& state, AnswerReason reason) {
  if (state.waiting) {
    m_waiting.Remove(*state.waiting);
    state.waiting.reset();
  }
  state.reason = reason;
  state.phase = ShardPhase::kGivenUp;
  --open.unsettled;
}

void Engine::Settle(OpenCall& open, Effects& effects) {
  if (open.unsettled == 0) {
    Finish(open, effects);
  }
}

void Engine::Finish(OpenCall& open, Effects& effects) {
  const Method& method = *open.call.method;
  Answer answer;
  Coverage asked;
  Coverage covered;
  Merger merger(method.merge, method.limit);
  bool may_have_run = open.may_have_run;
  for (ShardState& state : open.shards) {
    may_have_run = may_have_run || !state.in_flight.empty();
    (void)asked.Add(state.shard->range);
    if (state.phase == ShardPhase::kAnswered &&
        covered.Add(state.shard->range)) {
      merger.Add(std::move(state.reply));
    }
  }
  const Coverage missing = covered.MissingFrom(asked);
  answer.covered = covered.ranges();
  answer.missing = missing.ranges();
  Merged merged = merger.Take();
  answer.hits = std::move(merged.hits);
  answer.count = merged.count;
  answer.attempts = open.attempts;
  answer.hedges = open.hedges;
  answer.retries = open.retries;
  if (!covered.empty()) {
    answer.version = open.map->version;
    answer.outcome = missing.empty() ? Outcome::kWhole : Outcome::kPartial;
  } else {
    // "Not run" only where each attempt ended with proof of it; one that is
    // still in flight may run until its cancel arrives.
    answer.outcome = may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
  }
  if (answer.outcome != Outcome::kWhole) {
    answer.reason = internal::ReasonOf(open);
    // A call that may have run and may not be repeated must not come back.
    if (method.repeat == Repeat::kIdempotent ||
        answer.outcome == Outcome::kNotRun) {
      answer.retry_after = RetryAfter(answer.reason);
    }
  }
  const CallId id = open.call.id;
  CancelAll(open, effects);
  m_timers.Remove(id);
  m_calls.erase(id);
  Deliver(id, std::move(answer), effects);
}

}  // namespace jacinthdeck
