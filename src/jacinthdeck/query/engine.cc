// Thin scatter and gather: one attempt a shard, top hits by score.
#include "jacinthdeck/query/engine.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace jacinthdeck {

namespace internal {

[[nodiscard]] bool BetterHit(const Hit& a, const Hit& b) noexcept {
  return a.score != b.score ? a.score > b.score : a.id < b.id;
}

}  // namespace internal

Engine::Engine(Router& router, std::uint64_t first_attempt)
    : m_router(router), m_next_attempt(first_attempt) {}

std::optional<TimePoint> Engine::NextTimer() const {
  std::optional<TimePoint> next;
  for (const auto& [id, open] : m_calls) {
    next = next ? std::min(*next, open.call.deadline) : open.call.deadline;
  }
  return next;
}

void Engine::SetVersions(const ServiceId& service,
                         std::vector<PartitionMap> maps) {
  m_versions[service] = std::move(maps);
}

void Engine::Submit(Call call, TimePoint now, Effects& effects) {
  const CallId id = call.id;
  const auto found = m_versions.find(call.method->service);
  if (found == m_versions.end() || found->second.empty()) {
    Answer answer;
    answer.reason = AnswerReason::kNotReady;
    answer.retry_after = std::chrono::seconds(1);
    effects.answers.push_back(DeliverAnswer{id, std::move(answer)});
    return;
  }
  const PartitionMap& map = found->second.back();
  OpenCall& open = m_calls[id];
  open.call = std::move(call);
  open.version = map.version;
  for (const Shard& shard : map.shards) {
    if (!open.call.key || shard.range.Contains(*open.call.key)) {
      open.shards.push_back(ShardState{shard, {}, false});
    }
  }
  for (std::size_t i = 0; i < open.shards.size(); ++i) {
    SendShard(open, i, AttemptKind::kFirst, now, effects);
  }
}

void Engine::SendShard(OpenCall& open,
                       std::size_t shard,
                       AttemptKind kind,
                       TimePoint now,
                       Effects& effects) {
  ShardState& state = open.shards[shard];
  const auto choice =
      m_router.Choose(RouteRequest{open.call.method->service,
                                   state.shard.replicas, state.tried, kind},
                      now);
  const auto* target = std::get_if<TargetId>(&choice);
  if (target == nullptr) {
    return;
  }
  const AttemptId attempt(m_next_attempt++);
  state.tried.push_back(*target);
  m_attempts[attempt] = OpenAttempt{open.call.id, shard, *target, now};
  ++open.answer.attempts;
  effects.sends.push_back(SendAttempt{
      attempt, open.call.id, *target, open.call.method, open.call.body,
      state.shard.range, open.version, open.call.deadline, kind});
}

void Engine::OnReply(const AttemptReply& reply,
                     TimePoint now,
                     Effects& effects) {
  const auto found = m_attempts.find(reply.attempt);
  if (found == m_attempts.end()) {
    return;
  }
  const OpenAttempt attempt = found->second;
  m_attempts.erase(found);
  m_router.Finish(
      AttemptResult{attempt.target, reply.status,
                    std::chrono::duration_cast<Duration>(now - attempt.sent),
                    reply.reported_load},
      now);
  const auto call = m_calls.find(attempt.call);
  if (call == m_calls.end()) {
    return;
  }
  OpenCall& open = call->second;
  ShardState& state = open.shards[attempt.shard];
  if (reply.status != AttemptStatus::kAnswered ||
      reply.version != open.version || reply.range != state.shard.range ||
      state.answered) {
    return;
  }
  state.answered = true;
  open.answer.count += reply.count;
  open.answer.hits.insert(open.answer.hits.end(), reply.hits.begin(),
                          reply.hits.end());
  if (std::ranges::all_of(open.shards, &ShardState::answered)) {
    Finish(open.call.id, now, effects);
  }
}

void Engine::OnTimer(TimePoint now, Effects& effects) {
  std::vector<CallId> due;
  for (const auto& [id, open] : m_calls) {
    if (open.call.deadline <= now) {
      due.push_back(id);
    }
  }
  for (const CallId& id : due) {
    Finish(id, now, effects);
  }
}

void Engine::Finish(const CallId& id, TimePoint /*now*/, Effects& effects) {
  const auto found = m_calls.find(id);
  Answer answer = std::move(found->second.answer);
  answer.version = found->second.version;
  for (const ShardState& state : found->second.shards) {
    (state.answered ? answer.covered : answer.missing)
        .push_back(state.shard.range);
  }
  answer.outcome = answer.missing.empty()   ? Outcome::kWhole
                   : answer.covered.empty() ? Outcome::kUnknown
                                            : Outcome::kPartial;
  answer.reason =
      answer.missing.empty() ? AnswerReason::kNone : AnswerReason::kDeadline;
  std::ranges::sort(answer.hits, internal::BetterHit);
  answer.hits.resize(std::min<std::size_t>(answer.hits.size(),
                                           found->second.call.method->limit));
  for (const auto& [attempt, state] : m_attempts) {
    if (state.call == id) {
      effects.cancels.push_back(CancelAttempt{attempt, state.target});
    }
  }
  m_calls.erase(found);
  effects.answers.push_back(DeliverAnswer{id, std::move(answer)});
}

}  // namespace jacinthdeck
