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
  const Suspicion suspicion = m_quarantine.Of(open.call.fingerprint, now);
  if (suspicion != Suspicion::kNone && kind == AttemptKind::kHedge) {
    return;
  }
  if (suspicion == Suspicion::kConvicted) {
    return GiveUp(open, open.shards[shard], AnswerReason::kQuarantined);
  }
  if (suspicion == Suspicion::kSuspect) {
    return SendSuspect(open, shard, kind, now, effects);
  }
  const auto choice = Choose(open, open.shards[shard], kind, now);
  if (const auto* target = std::get_if<TargetId>(&choice)) {
    Launch(open, shard, kind, *target, now, effects);
  } else {
    OnRefusal(open, shard, kind, std::get<RouteRefusal>(choice), now);
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
    ArmAt(open, *state.hedge_at);
  }
  effects.sends.push_back(SendAttempt{
      attempt, open.call.id, target, open.call.method, open.call.body,
      state.shard->range, open.map->version, open.call.deadline, kind});
  return sent;
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
    ++state.refused_hedges;
    return;
  }
  if (refusal == RouteRefusal::kNoReplica && state.tried.empty()) {
    state.reason = AnswerReason::kNoReplica;
  }
  if (refusal != RouteRefusal::kAtLimit) {
    return GiveUpUnlessInFlight(open, state, state.reason);
  }
  if (CanStillEnd(open, now)) {
    // Indexed by the targets that it may take: at the head of a queue that it
    // cannot use, it would block those behind it.
    // An ejected target has no ends that would wake it.
    std::vector<TargetId> untried = Untried(state);
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
  ArmAt(open, open.call.deadline - open.service->fast.value());
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
      state.in_flight.empty() || state.waiting || !CanStillEnd(open, now)) {
    return;
  }
  // A refused hedge is asked for again after the same delay: a target that
  // never answers would else hold the shard for the rest of the call.
  state.hedge_at = now + HedgeDelay(open);
  SendShard(open, shard, AttemptKind::kHedge, now, effects);
  // With replicas lost the others are busy, and a hedge never waits for a
  // place. A retry does, and the shard needs one. Not while calls wait to run:
  // then every attempt is slow, and retries would only add to the load.
  if (state.refused_hedges >= m_options.retry.delays_until_overdue &&
      open.service->waiting.empty() &&
      MayRetry(open, state, AttemptStatus::kTimedOut, now)) {
    SendShard(open, shard, AttemptKind::kRetry, now, effects);
  }
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
  if (!Untried(state).empty()) {
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

std::vector<TargetId> Engine::Untried(const ShardState& state) const {
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

void Engine::PumpWaiting(const TargetId& target,
                         TimePoint now,
                         Effects& effects) {
  while (const auto key = m_waiting.First(target)) {
    const WaitingAttempt& first = m_waiting.Get(*key);
    OpenCall& open = m_calls.at(first.call);
    const std::size_t shard = first.shard;
    const AttemptKind kind = first.kind;
    if (m_quarantine.Of(open.call.fingerprint, now) != Suspicion::kNone) {
      m_waiting.Remove(*key);
      open.shards[shard].waiting.reset();
      SendShard(open, shard, kind, now, effects);
      const bool waits_again = open.shards[shard].waiting.has_value();
      Settle(open, now, effects);
      if (waits_again) {
        break;
      }
      continue;
    }
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
    Settle(open, now, effects);
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
