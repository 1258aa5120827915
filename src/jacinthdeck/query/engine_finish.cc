// Ends shards and calls, and builds the final answer.
#include <algorithm>
#include <utility>

#include "jacinthdeck/query/coverage.h"
#include "jacinthdeck/query/engine.h"
#include "jacinthdeck/query/merge.h"
#include "jacinthdeck/query/retry_after.h"

namespace jacinthdeck {

using internal::ShardPhase;

namespace internal {

//! Returns the reason to report for a call that ends with missing shards.
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

void Engine::GiveUpUnlessInFlight(OpenCall& open,
                                  ShardState& state,
                                  AnswerReason reason) {
  if (state.in_flight.empty()) {
    GiveUp(open, state, reason);
  }
}

void Engine::FinishIfSettled(OpenCall& open, TimePoint now, Effects& effects) {
  if (open.unsettled == 0) {
    Finish(open, now, effects);
  }
}

void Engine::Finish(OpenCall& open, TimePoint now, Effects& effects) {
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
    // Reports kNotRun only if every attempt ended with proof that it did not
    // run. An attempt in flight may still run until its cancellation arrives.
    answer.outcome = may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
  }
  if (answer.outcome == Outcome::kWhole) {
    open.service->p95_call_latency.Add(
        std::chrono::duration_cast<Duration>(now - open.started));
  } else {
    answer.reason = internal::ReasonOf(open);
  }
  // A non-idempotent call that may have run must not be sent again, so its
  // answer has no retry_after.
  if (answer.outcome == Outcome::kNotRun ||
      (answer.outcome != Outcome::kWhole &&
       method.repeat == Repeat::kIdempotent)) {
    answer.retry_after = RetryAfter(answer.reason);
    if (const auto until =
            m_quarantine.QuarantinedUntil(open.call.fingerprint, now)) {
      answer.retry_after = std::chrono::duration_cast<Duration>(*until - now);
    }
  }
  const CallId id = open.call.id;
  CloseCall(open, effects);
  Deliver(id, std::move(answer), effects);
}

void Engine::CloseCall(OpenCall& open, Effects& effects) {
  CancelAll(open, effects);
  --open.service->running_calls;
  const CallId id = open.call.id;
  m_timers.Remove(id);
  m_calls.erase(id);
}

void Engine::Deliver(const CallId& id, Answer answer, Effects& effects) {
  ++m_counters.outcomes[static_cast<std::size_t>(answer.outcome)];
  ++m_counters.reasons[static_cast<std::size_t>(answer.reason)];
  effects.answers.push_back(DeliverAnswer{id, std::move(answer)});
}

}  // namespace jacinthdeck
