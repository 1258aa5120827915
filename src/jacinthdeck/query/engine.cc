// Start of running calls, and their timers.
#include "jacinthdeck/query/engine.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace jacinthdeck {

using internal::ShardPhase;

Engine::Engine(Router& router,
               std::uint64_t first_attempt,
               const EngineOptions& options)
    : m_router(router),
      m_options(options),
      m_next_attempt(first_attempt),
      m_versions(router),
      m_quarantine(m_options.quarantine),
      m_waiting(m_options.waiting.limit) {}

std::optional<TimePoint> Engine::NextTimer() const {
  std::optional<TimePoint> next;
  for (const auto& due :
       {m_timers.Next(), m_waiting_timers.Next(), m_poll_at}) {
    if (due && (!next || *due < *next)) {
      next = due;
    }
  }
  if (!m_waiting_calls.empty()) {
    next = std::min(next.value_or(m_answer_by), m_answer_by);
  }
  return next;
}

void Engine::BeginStop(TimePoint answer_by, TimePoint now, Effects& effects) {
  m_answer_by = answer_by;
  for (auto& [id, open] : m_calls) {
    open.call.deadline = std::min(open.call.deadline, answer_by);
    RearmTimer(open);
  }
  OnTimer(now, effects);
}

void Engine::SetVersions(const ServiceId& service,
                         std::vector<PartitionMap> maps) {
  m_counters.rejected_maps += m_versions.Set(service, std::move(maps));
}

void Engine::BeginOnMap(OpenCall& open,
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
  open.timer_at = open.call.deadline;
  m_timers.Set(open.call.id, open.timer_at);
  const Fingerprint fingerprint = open.call.fingerprint;
  const bool suspect =
      m_quarantine.StateOf(fingerprint, now) == QuarantineState::kSuspect;
  // The first shard of a suspect is its probe. Shards on which it crashed a
  // target before go first, since a completion on any other shard does not
  // clear the request.
  std::vector<std::size_t> order(open.shards.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  if (suspect) {
    std::stable_partition(order.begin(), order.end(), [&](std::size_t shard) {
      return m_quarantine.CrashedInRange(fingerprint,
                                         open.shards[shard].shard->range);
    });
  }
  for (const std::size_t shard : order) {
    SendShard(open, shard, AttemptKind::kFirst, now, effects);
  }
}

void Engine::OnTimer(TimePoint now, Effects& effects) {
  while (const auto id = m_timers.TakeDue(now)) {
    OnCallTimer(m_calls.at(*id), now, effects);
  }
  if (m_poll_at && *m_poll_at <= now) {
    SendAllWaiting(now, effects);
  }
  if (now >= m_answer_by) {
    RefuseWaitingCalls(now, effects);
  }
  StartWaitingCalls(now, effects);
}

void Engine::OnCallTimer(OpenCall& open, TimePoint now, Effects& effects) {
  if (open.call.deadline <= now) {
    return Finish(open, now, effects);
  }
  for (std::size_t i = 0; i < open.shards.size(); ++i) {
    if (open.shards[i].phase == ShardPhase::kOpen) {
      OnShardTimer(open, i, now, effects);
    }
  }
  RearmTimer(open);
  FinishIfSettled(open, now, effects);
}

void Engine::OnShardTimer(OpenCall& open,
                          std::size_t shard,
                          TimePoint now,
                          Effects& effects) {
  ShardState& state = open.shards[shard];
  if (state.waiting && !HasTimeForAttempt(open, now)) {
    m_waiting.Remove(*state.waiting);
    state.waiting.reset();
    return GiveUpUnlessInFlight(open, state, AnswerReason::kOverload);
  }
  if (state.retry_at && *state.retry_at <= now) {
    state.retry_at.reset();
    return SendShard(open, shard, AttemptKind::kRetry, now, effects);
  }
  if (state.hedge_at && *state.hedge_at <= now) {
    HedgeShard(open, shard, now, effects);
  }
}

void Engine::ArmTimerAt(OpenCall& open, TimePoint at) {
  if (at < open.timer_at) {
    open.timer_at = at;
    m_timers.Set(open.call.id, at);
  }
}

void Engine::RearmTimer(OpenCall& open) {
  TimePoint timer_at = open.call.deadline;
  for (const ShardState& state : open.shards) {
    if (state.phase != ShardPhase::kOpen) {
      continue;
    }
    if (state.hedge_at) {
      timer_at = std::min(timer_at, *state.hedge_at);
    }
    if (state.retry_at) {
      timer_at = std::min(timer_at, *state.retry_at);
    }
    if (state.waiting) {
      timer_at =
          std::min(timer_at, open.call.deadline -
                                 open.service->p10_attempt_latency.value());
    }
  }
  open.timer_at = timer_at;
  m_timers.Set(open.call.id, timer_at);
}

bool Engine::HasTimeForAttempt(const OpenCall& open, TimePoint now) const {
  return now + open.service->p10_attempt_latency.value() < open.call.deadline;
}

}  // namespace jacinthdeck
