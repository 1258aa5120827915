// Suspects: one probe at a time, verdicts, and what was held for them.
#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "jacinthdeck/query/engine.h"

namespace jacinthdeck {

void Engine::SendSuspect(OpenCall& open,
                         std::size_t shard,
                         AttemptKind kind,
                         TimePoint now,
                         Effects& effects) {
  ShardState& state = open.shards[shard];
  const Fingerprint fingerprint = open.call.fingerprint;
  const HeldShard held{open.call.id, open.epoch, shard, kind};
  if (m_probes.Probing(fingerprint)) {
    state.held = true;
    return m_probes.Hold(fingerprint, held);
  }
  std::vector<TargetId> free;
  std::ranges::copy_if(state.shard->replicas, std::back_inserter(free),
                       [this](const TargetId& replica) {
                         return !m_probes.targets().contains(replica);
                       });
  const bool all_free = free.size() == state.shard->replicas.size();
  const auto choice = m_router.Choose(
      RouteRequest{open.service->id, free, state.tried, kind, false}, now);
  if (const auto* target = std::get_if<TargetId>(&choice)) {
    Launch(open, shard, kind, *target, now, effects).probe = true;
    return m_probes.Begin(fingerprint, *target);
  }
  const auto refusal = std::get<RouteRefusal>(choice);
  if (refusal == RouteRefusal::kNoReplica && !all_free) {
    state.held = true;
    return m_probes.HoldForTarget(held);
  }
  OnRefusal(open, shard, kind, refusal, now);
}

Engine::HeldShards Engine::Judge(const OpenAttempt& attempt,
                                 AttemptStatus status,
                                 TimePoint now,
                                 Effects& effects) {
  const Fingerprint fingerprint = attempt.fingerprint;
  if (status == AttemptStatus::kLost) {
    const Suspicion led_to =
        m_quarantine.Blame(fingerprint, attempt.range, attempt.probe, now);
    if (led_to == Suspicion::kSuspect) {
      effects.suspects.push_back(fingerprint);
    }
    if (led_to == Suspicion::kConvicted) {
      effects.convicted.push_back(fingerprint);
    }
  }
  const bool ran_to_its_end =
      status == AttemptStatus::kAnswered || status == AttemptStatus::kFailed;
  const bool cleared =
      ran_to_its_end && m_quarantine.Survived(fingerprint, attempt.range, now);
  if (attempt.probe) {
    return m_probes.End(fingerprint, attempt.target);
  }
  return cleared ? m_probes.Release(fingerprint) : HeldShards();
}

void Engine::Resume(const HeldShards& held, TimePoint now, Effects& effects) {
  for (const HeldShard& one : held) {
    const auto call = m_calls.find(one.call);
    if (call == m_calls.end() || call->second.epoch != one.epoch ||
        !call->second.shards[one.shard].held) {
      continue;
    }
    OpenCall& open = call->second;
    open.shards[one.shard].held = false;
    SendShard(open, one.shard, one.kind, now, effects);
    Settle(open, now, effects);
  }
}

void Engine::SuspectTold(Fingerprint fingerprint, TimePoint now) {
  m_quarantine.SuspectTold(fingerprint, now);
}

void Engine::ConvictionTold(Fingerprint fingerprint,
                            TimePoint now,
                            Effects& effects) {
  m_quarantine.ConvictionTold(fingerprint, now);
  Resume(m_probes.Release(fingerprint), now, effects);
  StartWaiting(now, effects);
}

bool Engine::ReleaseQuarantine(Fingerprint fingerprint,
                               TimePoint now,
                               Effects& effects) {
  const bool released = m_quarantine.Release(fingerprint);
  Resume(m_probes.Release(fingerprint), now, effects);
  StartWaiting(now, effects);
  return released;
}

}  // namespace jacinthdeck
