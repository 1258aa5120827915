// Sends suspects as probes, one at a time, and resumes the shards held for
// them.
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
  if (m_probes.IsProbing(fingerprint)) {
    state.held = true;
    return m_probes.Hold(fingerprint, held);
  }
  std::vector<TargetId> free_replicas;
  std::ranges::copy_if(state.shard->replicas, std::back_inserter(free_replicas),
                       [this](const TargetId& replica) {
                         return !m_probes.targets().contains(replica);
                       });
  const bool all_free = free_replicas.size() == state.shard->replicas.size();
  const auto choice = m_router.Choose(
      RouteRequest{open.service->id, free_replicas, state.tried, kind, false},
      now);
  if (const auto* target = std::get_if<TargetId>(&choice)) {
    Launch(open, shard, kind, *target, now, effects).probe = true;
    return m_probes.Begin(fingerprint, *target);
  }
  const auto refusal = std::get<RouteRefusal>(choice);
  if (refusal == RouteRefusal::kNoReplica && !all_free) {
    state.held = true;
    return m_probes.HoldForAnyProbe(held);
  }
  OnRouteRefusal(open, shard, kind, refusal, now);
}

Engine::HeldShards Engine::UpdateQuarantine(const OpenAttempt& attempt,
                                            AttemptStatus status,
                                            TimePoint now,
                                            Effects& effects) {
  const Fingerprint fingerprint = attempt.fingerprint;
  if (status == AttemptStatus::kLost) {
    const QuarantineState new_state = m_quarantine.RecordCrash(
        fingerprint, attempt.range, attempt.probe, now);
    if (new_state == QuarantineState::kSuspect) {
      effects.suspects.push_back(fingerprint);
    }
    if (new_state == QuarantineState::kQuarantined) {
      effects.quarantined.push_back(fingerprint);
    }
  }
  const bool cleared =
      status == AttemptStatus::kAnswered &&
      m_quarantine.RecordCompletion(fingerprint, attempt.range, now);
  if (attempt.probe) {
    return m_probes.End(fingerprint, attempt.target);
  }
  return cleared ? m_probes.Release(fingerprint) : HeldShards();
}

void Engine::ResumeHeld(const HeldShards& held,
                        TimePoint now,
                        Effects& effects) {
  for (const HeldShard& held_shard : held) {
    const auto call = m_calls.find(held_shard.call);
    if (call == m_calls.end() || call->second.epoch != held_shard.epoch ||
        !call->second.shards[held_shard.shard].held) {
      continue;
    }
    OpenCall& open = call->second;
    open.shards[held_shard.shard].held = false;
    SendShard(open, held_shard.shard, held_shard.kind, now, effects);
    FinishIfSettled(open, now, effects);
  }
}

void Engine::AddPeerSuspect(Fingerprint fingerprint, TimePoint now) {
  m_quarantine.AddPeerSuspect(fingerprint, now);
}

void Engine::AddPeerQuarantine(Fingerprint fingerprint,
                               TimePoint now,
                               Effects& effects) {
  m_quarantine.AddPeerQuarantine(fingerprint, now);
  ResumeHeld(m_probes.Release(fingerprint), now, effects);
  StartWaitingCalls(now, effects);
}

bool Engine::ReleaseQuarantine(Fingerprint fingerprint,
                               TimePoint now,
                               Effects& effects) {
  const bool released = m_quarantine.Release(fingerprint);
  ResumeHeld(m_probes.Release(fingerprint), now, effects);
  StartWaitingCalls(now, effects);
  return released;
}

}  // namespace jacinthdeck
