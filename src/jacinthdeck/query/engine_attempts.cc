// Sends first attempts, hedges and retries, and those that waited for capacity.
#include <algorithm>
#include <utility>
#include <variant>

#include "jacinthdeck/query/engine.h"

namespace jacinthdeck {

std::variant<TargetId, RouteRefusal> Engine::ChooseTarget(
    const OpenCall& open,
    const ShardState& state,
    AttemptKind kind,
    TimePoint now) {
  const Method& method = *open.call.method;
  const bool may_probe = method.repeat == Repeat::kIdempotent;
  return m_router.Choose(RouteRequest{method.service, state.shard->replicas,
                                      state.tried, kind, may_probe},
                         now);
}

void Engine::SendShard(OpenCall& open,
                       std::size_t shard,
                       AttemptKind kind,
                       TimePoint now,
                       Effects& effects) {
  const QuarantineState quarantine_state =
      m_quarantine.StateOf(open.call.fingerprint, now);
  if (quarantine_state != QuarantineState::kNone &&
      kind == AttemptKind::kHedge) {
    return;
  }
  if (quarantine_state == QuarantineState::kQuarantined) {
    return GiveUp(open, open.shards[shard], AnswerReason::kQuarantined);
  }
  if (quarantine_state == QuarantineState::kSuspect) {
    return SendSuspect(open, shard, kind, now, effects);
  }
  const auto choice = ChooseTarget(open, open.shards[shard], kind, now);
  if (const auto* target = std::get_if<TargetId>(&choice)) {
    Launch(open, shard, kind, *target, now, effects);
  } else {
    OnRouteRefusal(open, shard, kind, std::get<RouteRefusal>(choice), now);
  }
}

Engine::OpenAttempt& Engine::Launch(OpenCall& open,
                                    std::size_t shard,
                                    AttemptKind kind,
                                    const TargetId& target,
                                    TimePoint now,
                                    Effects& effects) {
  ShardState& state = open.shards[shard];
  const Method& method = *open.call.method;
  const AttemptId attempt(m_next_attempt++);
  state.tried.push_back(target);
  state.in_flight.push_back(attempt);
  state.refused_hedges = 0;
  OpenAttempt& sent = m_attempts[attempt];
  sent.call = open.call.id;
  sent.epoch = open.epoch;
  sent.shard = shard;
  sent.target = target;
  sent.service = open.service;
  sent.sent = now;
  sent.kind = kind;
  sent.version = open.map->version;
  sent.range = state.shard->range;
  sent.fingerprint = open.call.fingerprint;
  ++open.attempts;
  ++m_counters.attempts;
  if (kind == AttemptKind::kHedge) {
    ++state.hedges;
    ++open.hedges;
    ++m_counters.hedges;
  }
  if (kind == AttemptKind::kRetry) {
    ++state.retries;
    ++open.retries;
    ++m_counters.retries;
  }
  if (method.repeat == Repeat::kIdempotent) {
    state.hedge_at = now + HedgeDelay(open);
    ArmTimerAt(open, *state.hedge_at);
  }
  effects.sends.push_back(SendAttempt{
      attempt, open.call.id, target, open.call.method, open.call.body,
      state.shard->range, open.map->version, open.call.deadline, kind});
  return sent;
}

Duration Engine::HedgeDelay(const OpenCall& open) const {
  constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(1);
  return std::max(kMinHedgeDelay,
                  m_router.HedgeDelay(open.call.method->service));
}

void Engine::OnRouteRefusal(OpenCall& open,
                            std::size_t shard,
                            AttemptKind kind,
                            RouteRefusal refusal,
                            TimePoint now) {
  ShardState& state = open.shards[shard];
  if (kind == AttemptKind::kHedge) {
    ++state.refused_hedges;
    return;
  }
  if (refusal == RouteRefusal::kNoReplica && state.tried.empty()) {
    state.reason = AnswerReason::kNoReplica;
  }
  if (refusal != RouteRefusal::kAtLimit) {
    return GiveUpUnlessInFlight(open, state, state.reason);
  }
  if (HasTimeForAttempt(open, now)) {
    // Waits only for targets that it may use: at the head of the queue of
    // another target, it would block the attempts behind it. Ejected targets
    // are left out, since no attempt ends there that would trigger the queue.
    std::vector<TargetId> untried = UntriedReplicas(state);
    std::erase_if(untried, [&](const TargetId& id) {
      return !m_router.IsAvailable(id, now);
    });
    state.waiting = m_waiting.Add(WaitingAttempt{
        open.call.id, shard, kind, open.service->id,
        untried.empty() ? state.shard->replicas : untried, open.call.deadline});
  }
  if (!state.waiting) {
    return GiveUpUnlessInFlight(open, state, AnswerReason::kOverload);
  }
  ArmTimerAt(open,
             open.call.deadline - open.service->p10_attempt_latency.value());
  if (!m_poll_at) {
    m_poll_at = now + m_options.waiting.poll_interval;
  }
}

void Engine::HedgeShard(OpenCall& open,
                        std::size_t shard,
                        TimePoint now,
                        Effects& effects) {
  ShardState& state = open.shards[shard];
  state.hedge_at.reset();
  if (state.hedges >= m_options.retry.hedges_per_shard ||
      state.in_flight.empty() || state.waiting ||
      !HasTimeForAttempt(open, now)) {
    return;
  }
  // A refused hedge is tried again after the same delay. Otherwise, a target
  // that never answers would block the shard until the deadline of the call.
  state.hedge_at = now + HedgeDelay(open);
  SendShard(open, shard, AttemptKind::kHedge, now, effects);
  // If replicas fail, the remaining ones are busy and refuse hedges, which
  // never wait for capacity. A retry does wait, so one is sent after repeated
  // refusals. It is not sent while calls wait to run: every attempt is slow
  // then, and retries would only add to the load.
  if (state.refused_hedges >= m_options.retry.refused_hedges_before_retry &&
      open.service->queue.empty() &&
      MayRetry(open, state, AttemptStatus::kTimedOut, now)) {
    SendShard(open, shard, AttemptKind::kRetry, now, effects);
  }
}

void Engine::RetryShard(OpenCall& open,
                        std::size_t shard,
                        AttemptStatus status,
                        TimePoint now,
                        Effects& effects) {
  ShardState& state = open.shards[shard];
  if (!MayRetry(open, state, status, now)) {
    return GiveUp(open, state, state.reason);
  }
  if (!UntriedReplicas(state).empty()) {
    return SendShard(open, shard, AttemptKind::kRetry, now, effects);
  }
  const TimePoint at =
      now + m_options.retry.initial_backoff * (1U << state.retries);
  if (!HasTimeForAttempt(open, at)) {
    return GiveUp(open, state, state.reason);
  }
  state.retry_at = at;
  ArmTimerAt(open, at);
}

bool Engine::MayRetry(const OpenCall& open,
                      const ShardState& state,
                      AttemptStatus status,
                      TimePoint now) const {
  const RetryOptions& bounds = m_options.retry;
  // A non-idempotent request is sent again only if the status proves that the
  // previous attempt cannot have run.
  const bool repeatable =
      open.call.method->repeat == Repeat::kIdempotent || ProvesNotRun(status);
  return repeatable && state.retries < bounds.retries_per_shard &&
         open.retries < open.shards.size() + bounds.spare_retries_per_call &&
         HasTimeForAttempt(open, now);
}

std::vector<TargetId> Engine::UntriedReplicas(const ShardState& state) const {
  std::vector<TargetId> untried;
  for (const TargetId& replica : state.shard->replicas) {
    const TargetInfo* info = m_router.FindTarget(replica);
    if (info != nullptr && info->state == TargetState::kLive &&
        std::ranges::find(state.tried, replica) == state.tried.end()) {
      untried.push_back(replica);
    }
  }
  return untried;
}

void Engine::SendWaiting(const TargetId& target,
                         TimePoint now,
                         Effects& effects) {
  while (const auto key = m_waiting.First(target)) {
    const WaitingAttempt& first = m_waiting.Get(*key);
    OpenCall& open = m_calls.at(first.call);
    const std::size_t shard = first.shard;
    const AttemptKind kind = first.kind;
    if (m_quarantine.StateOf(open.call.fingerprint, now) !=
        QuarantineState::kNone) {
      m_waiting.Remove(*key);
      open.shards[shard].waiting.reset();
      SendShard(open, shard, kind, now, effects);
      const bool waits_again = open.shards[shard].waiting.has_value();
      FinishIfSettled(open, now, effects);
      if (waits_again) {
        break;
      }
      continue;
    }
    const auto choice = ChooseTarget(open, open.shards[shard], kind, now);
    const auto* refusal = std::get_if<RouteRefusal>(&choice);
    if (refusal != nullptr && *refusal == RouteRefusal::kAtLimit) {
      break;
    }
    m_waiting.Remove(*key);
    open.shards[shard].waiting.reset();
    if (refusal != nullptr) {
      OnRouteRefusal(open, shard, kind, *refusal, now);
    } else {
      Launch(open, shard, kind, std::get<TargetId>(choice), now, effects);
    }
    FinishIfSettled(open, now, effects);
  }
  if (m_waiting.size() == 0) {
    m_poll_at.reset();
  }
}

void Engine::SendAllWaiting(TimePoint now, Effects& effects) {
  for (const TargetId& target : m_waiting.Targets()) {
    SendWaiting(target, now, effects);
  }
  m_poll_at.reset();
  if (m_waiting.size() > 0) {
    m_poll_at = now + m_options.waiting.poll_interval;
  }
}

}  // namespace jacinthdeck
