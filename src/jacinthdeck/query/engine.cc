// Start of calls and what becomes due.
#include "jacinthdeck/query/engine.h"

#include <algorithm>
#include <utility>

#include "jacinthdeck/query/retry_after.h"

namespace jacinthdeck {

using internal::ShardPhase;

Engine::Engine(Router& router,
               std::uint64_t first_attempt,
               const EngineOptions& options)
    : m_router(router),
      m_options(options),
      m_next_attempt(first_attempt),
      m_versions(router),
      m_waiting(m_options.waiting.limit) {}

std::optional<TimePoint> Engine::NextTimer() const {
  std::optional<TimePoint> next = m_timers.Next();
  if (m_poll_at) {
    next = next ? std::min(*next, *m_poll_at) : *m_poll_at;
  }
  return next;
}

void Engine::SetVersions(const ServiceId& service,
                         std::vector<PartitionMap> maps) {
  m_counters.rejected_maps += m_versions.Set(service, std::move(maps));
}

void Engine::Submit(Call call, TimePoint now, Effects& effects) {
  ++m_counters.calls;
  const CallId id = call.id;
  if (call.deadline <= now) {
    return Refuse(id, AnswerReason::kDeadline, effects);
  }
  VersionChoice choice = m_versions.Choose(
      VersionRequest{call.method->service, call.key, {}}, now);
  if (!choice.map) {
    return Refuse(id, AnswerReason::kNotReady, effects);
  }
  OpenCall& open = m_calls[id];
  open.call = std::move(call);
  open.started = now;
  Begin(open, std::move(choice.map), now, effects);
  Settle(open, effects);
}

void Engine::Refuse(const CallId& id, AnswerReason reason, Effects& effects) {
  Answer answer;
  answer.reason = reason;
  answer.retry_after = RetryAfter(reason);
  Deliver(id, std::move(answer), effects);
}

void Engine::Deliver(const CallId& id, Answer answer, Effects& effects) {
  ++m_counters.outcomes[static_cast<std::size_t>(answer.outcome)];
  ++m_counters.reasons[static_cast<std::size_t>(answer.reason)];
  effects.answers.push_back(DeliverAnswer{id, std::move(answer)});
}

void Engine::Begin(OpenCall& open,
                   std::shared_ptr<const PartitionMap> map,
                   TimePoint now,
                   Effects& effects) {
  open.map = std::move(map);
  ++open.epoch;
  open.shards.clear();
  for (const Shard& shard : open.map->shards) {
    if (!open.call.key || shard.range.Contains(*open.call.key)) {
      open.shards.emplace_back().shard = &shard;
    }
  }
  open.unsettled = open.shards.size();
  open.wake = open.call.deadline;
  m_timers.Set(open.call.id, open.wake);
  for (std::size_t i = 0; i < open.shards.size(); ++i) {
    SendShard(open, i, AttemptKind::kFirst, now, effects);
  }
}

void Engine::OnTimer(TimePoint now, Effects& effects) {
  while (const auto id = m_timers.TakeDue(now)) {
    Wake(m_calls.at(*id), now, effects);
  }
  if (m_poll_at && *m_poll_at <= now) {
    PumpAllWaiting(now, effects);
  }
}

void Engine::Wake(OpenCall& open, TimePoint now, Effects& effects) {
  if (open.call.deadline <= now) {
    return Finish(open, effects);
  }
  for (std::size_t i = 0; i < open.shards.size(); ++i) {
    if (open.shards[i].phase == ShardPhase::kOpen) {
      WakeShard(open, i, now, effects);
    }
  }
  Rearm(open);
  Settle(open, effects);
}

void Engine::WakeShard(OpenCall& open,
                       std::size_t shard,
                       TimePoint now,
                       Effects& effects) {
  ShardState& state = open.shards[shard];
  if (state.waiting && !CanStillEnd(open, now)) {
    return GiveUp(open, state, AnswerReason::kOverload);
  }
  if (state.retry_at && *state.retry_at <= now) {
    state.retry_at.reset();
    return SendShard(open, shard, AttemptKind::kRetry, now, effects);
  }
  if (state.hedge_at && *state.hedge_at <= now) {
    Hedge(open, shard, now, effects);
  }
}

void Engine::ArmAt(OpenCall& open, TimePoint at) {
  if (at < open.wake) {
    open.wake = at;
    m_timers.Set(open.call.id, at);
  }
}

void Engine::Rearm(OpenCall& open) {
  TimePoint wake = open.call.deadline;
  for (const ShardState& state : open.shards) {
    if (state.phase != ShardPhase::kOpen) {
      continue;
    }
    if (state.hedge_at) {
      wake = std::min(wake, *state.hedge_at);
    }
    if (state.retry_at) {
      wake = std::min(wake, *state.retry_at);
    }
    if (state.waiting) {
      wake = std::min(wake,
                      open.call.deadline - FastTime(open.call.method->service));
    }
  }
  open.wake = wake;
  m_timers.Set(open.call.id, wake);
}

void Engine::Abandon(const CallId& id, TimePoint now, Effects& effects) {
  const auto found = m_calls.find(id);
  if (found == m_calls.end()) {
    return;
  }
  CancelAll(found->second, effects);
  m_timers.Remove(id);
  m_calls.erase(found);
  (void)now;
}

Duration Engine::FastTime(const ServiceId& service) const {
  const auto found = m_fast_times.find(service);
  return found == m_fast_times.end() ? Duration::zero() : found->second.value();
}

bool Engine::CanStillEnd(const OpenCall& open, TimePoint now) const {
  return now + FastTime(open.call.method->service) < open.call.deadline;
}

}  // namespace jacinthdeck
