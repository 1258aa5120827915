// Processes the ends of attempts: statistics, replies, retries and restarts.
#include <algorithm>
#include <array>
#include <utility>

#include "jacinthdeck/query/engine.h"

namespace jacinthdeck {

using internal::ShardPhase;

namespace internal {

//! Reason reported for a shard whose last attempt ended with a status; indexed
//! by AttemptStatus.
constexpr std::array<AnswerReason, kAttemptStatusNames.names.size()> kReasons{
    AnswerReason::kNone,          // kAnswered
    AnswerReason::kVersionGone,   // kVersionGone
    AnswerReason::kNoReplica,     // kWrongRange
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
  AttemptStatus status = reply.status;
  if (status == AttemptStatus::kAnswered &&
      (reply.version != attempt.version || reply.range != attempt.range)) {
    // The request ran, but for another version or range. Merging the reply
    // would mix index versions or cover keys that were not read.
    ++m_counters.mismatched_replies;
    status = AttemptStatus::kFailed;
  }
  RecordAttemptEnd(attempt, status, reply, now);
  const HeldShards held = UpdateQuarantine(attempt, status, now, effects);
  const auto call = m_calls.find(attempt.call);
  if (call == m_calls.end() || attempt.cancelled ||
      call->second.epoch != attempt.epoch) {
    ++m_counters.late_replies;
  } else {
    ApplyReply(call->second, attempt, status, reply, now, effects);
  }
  ResumeHeld(held, now, effects);
  SendWaiting(attempt.target, now, effects);
  StartWaitingCalls(now, effects);
}

void Engine::RecordAttemptEnd(const OpenAttempt& attempt,
                              AttemptStatus status,
                              const AttemptReply& reply,
                              TimePoint now) {
  const auto latency = std::chrono::duration_cast<Duration>(now - attempt.sent);
  // A cancelled hedge did not win; it is reported as a first attempt.
  const AttemptKind kind =
      attempt.cancelled ? AttemptKind::kFirst : attempt.kind;
  m_router.Finish(AttemptResult{attempt.target, status, latency,
                                reply.reported_load, kind, reply.draining},
                  now);
  if (status == AttemptStatus::kAnswered) {
    attempt.service->p10_attempt_latency.Add(latency);
  }
  if (status == AttemptStatus::kVersionGone) {
    m_versions.RecordVersionGone(attempt.service->id, attempt.version,
                                 attempt.target, now);
  }
}

void Engine::ApplyReply(OpenCall& open,
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
    OnFailure(open, attempt, status, now, effects);
  }
  FinishIfSettled(open, now, effects);
}

void Engine::OnFailure(OpenCall& open,
                       const OpenAttempt& attempt,
                       AttemptStatus status,
                       TimePoint now,
                       Effects& effects) {
  ShardState& state = open.shards[attempt.shard];
  state.reason = internal::ReasonOf(status);
  if (VersionIsGone(open, state, status, now)) {
    if (Restart(open, now, effects)) {
      return;
    }
    if (UntriedReplicas(state).empty()) {
      return GiveUpUnlessInFlight(open, state, state.reason);
    }
  }
  if (!state.in_flight.empty()) {
    // Another attempt may still answer; a hedge replaces the failed one.
    state.hedge_at = now + HedgeDelay(open);
    return ArmTimerAt(open, *state.hedge_at);
  }
  const bool completed = status == AttemptStatus::kFailed;
  if (attempt.probe && !ProvesNotRun(status) && !completed) {
    // A suspect is retried only once, as a probe, since each run may crash
    // another target. This attempt was the probe.
    const bool quarantined = m_quarantine.StateOf(attempt.fingerprint, now) ==
                             QuarantineState::kQuarantined;
    return GiveUp(open, state,
                  quarantined ? AnswerReason::kQuarantined : state.reason);
  }
  RetryShard(open, attempt.shard, status, now, effects);
}

bool Engine::VersionIsGone(const OpenCall& open,
                           const ShardState& state,
                           AttemptStatus status,
                           TimePoint now) const {
  if (status == AttemptStatus::kWrongRange) {
    return UntriedReplicas(state).empty();
  }
  if (status != AttemptStatus::kVersionGone) {
    return false;
  }
  const ServiceId& service = open.service->id;
  const IndexVersion version = open.map->version;
  return !m_versions.IsListed(service, version) ||
         std::ranges::none_of(
             state.shard->replicas, [&](const TargetId& target) {
               return m_versions.IsUsable(service, version, target, now);
             });
}

bool Engine::Restart(OpenCall& open, TimePoint now, Effects& effects) {
  if (open.restarts >= m_options.retry.restarts_per_call ||
      !HasTimeForAttempt(open, now)) {
    return false;
  }
  const bool in_flight = std::ranges::any_of(
      open.shards,
      [](const ShardState& state) { return !state.in_flight.empty(); });
  if (open.call.method->repeat == Repeat::kOnce &&
      (open.may_have_run || in_flight)) {
    return false;
  }
  open.excluded_versions.push_back(open.map->version);
  VersionChoice choice = m_versions.Choose(
      VersionRequest{open.service->id, open.call.key, open.excluded_versions},
      now);
  if (!choice.complete) {
    return false;
  }
  open.may_have_run = open.may_have_run || in_flight;
  CancelAll(open, effects);
  ++open.restarts;
  ++m_counters.restarts;
  BeginOnMap(open, std::move(choice.map), now, effects);
  return true;
}

}  // namespace jacinthdeck
