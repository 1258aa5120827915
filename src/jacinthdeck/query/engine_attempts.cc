// Attempts: first ones, hedges, retries and those that wait for a place.
#include <algorithm>
#include <utility>
#include <variant>

#include "jacinthdeck/query/engine.h"

namespace jacinthdeck {

std::variant<TargetId, RouteRefusal> Engine::Choose(const OpenCall& open,
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
  const auto choice = Choose(open, open.shards[shard], kind, now);
  if (const auto* target = std::get_if<TargetId>(&choice)) {
    Launch(open, shard, kind, *target, now, effects);
  } else {
    OnRefusal(open, shard, kind, std::get<RouteRefusal>(choice), now);
  }
}

void Engine::Launch(OpenCall& open,
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
  m_attempts.emplace(attempt,
                     OpenAttempt{open.call.id, open.epoch, shard, target,
                                 method.service, now, kind, open.map->version,
                                 state.shard->range, open.call.fingerprint});
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
    ArmAt(open, *state.hedge_at);
  }
  effects.sends.push_back(SendAttempt{
      attempt, open.call.id, target, open.call.method, open.call.body,
      state.shard->range, open.map->version, open.call.deadline, kind});
}

Duration Engine::HedgeDelay(const OpenCall& open) const {
  constexpr Duration kShortest = std::chrono::milliseconds(1);
  return std::max(kShortest, m_router.HedgeDelay(open.call.method->service));
}

void Engine::OnRefusal(OpenCall& open,
                       std::size_t shard,
                       AttemptKind kind,
                       RouteRefusal refusal,
                       TimePoint now) {
  ShardState& state = open.shards[shard];
  if (kind == AttemptKind::kHedge) {
    return;
  }
  if (refusal == RouteRefusal::kNoReplica && state.tried.empty()) {
    state.reason = AnswerReason::kNoReplica;
  }
  if (refusal != RouteRefusal::kAtLimit) {
    return GiveUp(open, state, state.reason);
  }
  if (CanStillEnd(open, now)) {
    state.waiting = m_waiting.Add(
        WaitingAttempt{open.call.id, shard, kind, open.call.method->service,
                       state.shard->replicas, open.call.deadline});
  }
  if (!state.waiting) {
    return GiveUp(open, state, AnswerReason::kOverload);
  }
  ArmAt(open, open.call.deadline - FastTime(open.call.method->service));
  if (!m_poll_at) {
    m_poll_at = now + m_options.waiting.poll;
  }
}

void Engine::Hedge(OpenCall& open,
                   std::size_t shard,
                   TimePoint now,
                   Effects& effects) {
  ShardState& state = open.shards[shard];
  state.hedge_at.reset();
  if (state.hedges >= m_options.retry.hedges_per_shard ||
      state.in_flight.empty() || !CanStillEnd(open, now)) {
    return;
  }
  // A refused hedge is asked for again after the same delay: a target that
  // never answers would else hold the shard for the rest of the call.
  state.hedge_at = now + HedgeDelay(open);
  SendShard(open, shard, AttemptKind::kHedge, now, effects);
}

void Engine::Retry(OpenCall& open,
                   std::size_t shard,
                   AttemptStatus status,
                   TimePoint now,
                   Effects& effects) {
  ShardState& state = open.shards[shard];
  if (!MayRetry(open, state, status, now)) {
    return GiveUp(open, state, state.reason);
  }
  if (HasUntried(state)) {
    return SendShard(open, shard, AttemptKind::kRetry, now, effects);
  }
  const TimePoint at = now + m_options.retry.pause * (1U << state.retries);
  if (!CanStillEnd(open, at)) {
    return GiveUp(open, state, state.reason);
  }
  state.retry_at = at;
  ArmAt(open, at);
}

bool Engine::MayRetry(const OpenCall& open,
                      const ShardState& state,
                      AttemptStatus status,
                      TimePoint now) const {
  const RetryOptions& bounds = m_options.retry;
  // A request that may not be repeated goes out again only after proof that the
  // attempt before it cannot have run.
  const bool repeatable =
      open.call.method->repeat == Repeat::kIdempotent || ProvesNotRun(status);
  return repeatable && state.retries < bounds.retries_per_shard &&
         open.retries < open.shards.size() + bounds.spare_retries_per_call &&
         CanStillEnd(open, now);
}

bool Engine::HasUntried(const ShardState& state) const {
  return std::ranges::any_of(
      state.shard->replicas, [&](const TargetId& replica) {
        const TargetInfo* info = m_router.FindTarget(replica);
        return info != nullptr && info->state == TargetState::kLive &&
               std::ranges::find(state.tried, replica) == state.tried.end();
      });
}

void Engine::PumpWaiting(const TargetId& target,
                         TimePoint now,
                         Effects& effects) {
  while (const auto key = m_waiting.First(target)) {
    const WaitingAttempt& first = m_waiting.Get(*key);
    OpenCall& open = m_calls.at(first.call);
    const std::size_t shard = first.shard;
    const AttemptKind kind = first.kind;
    const auto choice = Choose(open, open.shards[shard], kind, now);
    const auto* refusal = std::get_if<RouteRefusal>(&choice);
    if (refusal != nullptr && *refusal == RouteRefusal::kAtLimit) {
      break;
    }
    m_waiting.Remove(*key);
    open.shards[shard].waiting.reset();
    if (refusal != nullptr) {
      OnRefusal(open, shard, kind, *refusal, now);
    } else {
      Launch(open, shard, kind, std::get<TargetId>(choice), now, effects);
    }
    Settle(open, effects);
  }
  if (m_waiting.size() == 0) {
    m_poll_at.reset();
  }
}

void Engine::PumpAllWaiting(TimePoint now, Effects& effects) {
  for (const TargetId& target : m_waiting.Targets()) {
    PumpWaiting(target, now, effects);
  }
  m_poll_at.reset();
  if (m_waiting.size() > 0) {
    m_poll_at = now + m_options.waiting.poll;
  }
}

}  // namespace jacinthdeck
