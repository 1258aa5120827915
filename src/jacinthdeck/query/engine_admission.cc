// Decides which calls start, wait in the queue or are refused.
#include <algorithm>
#include <utility>

#include "jacinthdeck/query/engine.h"
#include "jacinthdeck/query/retry_after.h"

namespace jacinthdeck {

namespace internal {

constexpr Duration kMinOverloadRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxOverloadRetryAfter = std::chrono::seconds(5);

}  // namespace internal

void Engine::Submit(Call call, TimePoint now, Effects& effects) {
  ++m_counters.calls;
  call.deadline = std::min(call.deadline, m_answer_by);
  const AnswerReason reason = ReasonToRefuse(call, now);
  if (reason != AnswerReason::kNone) {
    return Refuse(call, reason, now, effects);
  }
  ServiceState& service = ServiceOf(call.method->service);
  if (service.queue.empty() && MayStart(service)) {
    return Start(std::move(call), service, now, effects);
  }
  Enqueue(std::move(call), service, now, effects);
}

Engine::ServiceState& Engine::ServiceOf(const ServiceId& service) {
  return m_services.try_emplace(service, service, m_options.admission)
      .first->second;
}

Duration Engine::ExpectedLatency(const ServiceId& service) const {
  const auto found = m_services.find(service);
  return found == m_services.end() ? Duration::zero()
                                   : found->second.p95_call_latency.value();
}

AnswerReason Engine::ReasonToRefuse(const Call& call, TimePoint now) const {
  if (m_draining) {
    return AnswerReason::kDraining;
  }
  if (call.deadline == m_answer_by &&
      now + ExpectedLatency(call.method->service) > m_answer_by) {
    return AnswerReason::kDraining;
  }
  if (call.deadline <= now) {
    return AnswerReason::kDeadline;
  }
  if (m_quarantine.StateOf(call.fingerprint, now) ==
      QuarantineState::kQuarantined) {
    return AnswerReason::kQuarantined;
  }
  if (!m_versions.HasVersions(call.method->service)) {
    return AnswerReason::kNotReady;
  }
  return AnswerReason::kNone;
}

bool Engine::MayStart(const ServiceState& service) const {
  const AdmissionOptions& bounds = m_options.admission;
  const double max_waiting_attempts =
      bounds.waiting_attempts_per_shard *
      static_cast<double>(m_versions.ShardCount(service.id));
  const auto waiting = static_cast<double>(m_waiting.CountOf(service.id));
  return service.running_calls < bounds.max_running_calls &&
         (waiting == 0 || waiting < max_waiting_attempts);
}

void Engine::Enqueue(Call call,
                     ServiceState& service,
                     TimePoint now,
                     Effects& effects) {
  AdmissionQueue& queue = service.queue;
  const double weight = m_options.admission.WeightOf(call.tenant);
  const bool only_tenant = queue.size() == queue.CountOf(call.tenant);
  const AnswerReason reason =
      only_tenant ? AnswerReason::kOverload : AnswerReason::kTenantLimit;
  const auto wait = Duration(static_cast<Duration::rep>(
      queue.StartsAhead(call.tenant, weight) *
      static_cast<double>(service.start_interval.value().count())));
  // The expected wait may take at most half of the time that the call can
  // spare, so that the call still starts in time if the starts slow down. A
  // queue as long as the full spare time would start each call too late.
  const TimePoint latest_start =
      call.deadline - service.p95_call_latency.value();
  if (now + wait * 2 >= latest_start && service.running_calls > 0) {
    return Refuse(call, reason, now, effects);
  }
  if (queue.full()) {
    if (queue.ExceedsShare(call.tenant, weight)) {
      return Refuse(call, reason, now, effects);
    }
    RefuseWaitingCall(queue.TakeExcess(), AnswerReason::kTenantLimit, now,
                      effects);
  }
  const CallId id = call.id;
  const double cost =
      call.key ? 1 : static_cast<double>(m_versions.ShardCount(service.id));
  const TenantId tenant = call.tenant;
  const TimePoint deadline = call.deadline;
  const AdmissionQueue::Key key = queue.Add({.flow = tenant,
                                             .weight = weight,
                                             .cost = std::max(cost, 1.0),
                                             .deadline = deadline,
                                             .item = std::move(call)});
  m_waiting_calls[id] = WaitingCall{&service, key};
  ArmWaitingTimer(service);
}

void Engine::Start(Call call,
                   ServiceState& service,
                   TimePoint now,
                   Effects& effects) {
  VersionChoice choice =
      m_versions.Choose(VersionRequest{service.id, call.key, {}}, now);
  if (!choice.map) {
    return Refuse(call, AnswerReason::kNotReady, now, effects);
  }
  const CallId id = call.id;
  OpenCall& open = m_calls[id];
  open.call = std::move(call);
  open.call.deadline = std::min(open.call.deadline, m_answer_by);
  open.service = &service;
  open.started = now;
  ++service.running_calls;
  BeginOnMap(open, std::move(choice.map), now, effects);
  FinishIfSettled(open, now, effects);
}

void Engine::StartWaitingCalls(TimePoint now, Effects& effects) {
  if (m_waiting_calls.empty()) {
    return;
  }
  for (auto& [id, service] : m_services) {
    if (!service.queue.empty()) {
      StartWaitingCalls(service, now, effects);
    }
  }
}

void Engine::RefuseWaitingCalls(TimePoint now, Effects& effects) {
  for (auto& [id, service] : m_services) {
    while (!service.queue.empty()) {
      RefuseWaitingCall(service.queue.TakeNext(), AnswerReason::kDraining, now,
                        effects);
    }
    ArmWaitingTimer(service);
  }
}

void Engine::StartWaitingCalls(ServiceState& service,
                               TimePoint now,
                               Effects& effects) {
  AdmissionQueue& queue = service.queue;
  // While no call of the service runs, nothing shows that the measured latency
  // still applies, so the next call is tried even if its deadline is near.
  while (!queue.empty()) {
    const TimePoint unreachable_deadline =
        service.running_calls > 0 ? now + service.p95_call_latency.value()
                                  : now;
    if (const auto call = queue.TakeDueBy(unreachable_deadline)) {
      RefuseWaitingCall(*call, AnswerReason::kOverload, now, effects);
    } else if (MayStart(service)) {
      Call next = queue.TakeNext();
      service.start_interval.OnStart(now, !queue.empty());
      m_waiting_calls.erase(next.id);
      Start(std::move(next), service, now, effects);
    } else {
      break;
    }
  }
  ArmWaitingTimer(service);
}

void Engine::ArmWaitingTimer(ServiceState& service) {
  if (service.queue.empty()) {
    m_waiting_timers.Remove(service.id);
    return;
  }
  const Duration p95_call_latency = service.running_calls > 0
                                        ? service.p95_call_latency.value()
                                        : Duration::zero();
  m_waiting_timers.Set(service.id,
                       service.queue.EarliestDeadline() - p95_call_latency);
}

void Engine::Refuse(const Call& call,
                    AnswerReason reason,
                    TimePoint now,
                    Effects& effects) {
  Answer answer;
  answer.reason = reason;
  answer.retry_after = RetryAfter(reason);
  if (const auto until = m_quarantine.QuarantinedUntil(call.fingerprint, now)) {
    answer.retry_after = std::chrono::duration_cast<Duration>(*until - now);
  }
  if (reason == AnswerReason::kOverload ||
      reason == AnswerReason::kTenantLimit) {
    // About the time that the queue needs to drain.
    const ServiceState& service = ServiceOf(call.method->service);
    const auto backlog = static_cast<Duration::rep>(service.queue.size() + 1);
    answer.retry_after = std::clamp(service.start_interval.value() * backlog,
                                    internal::kMinOverloadRetryAfter,
                                    internal::kMaxOverloadRetryAfter);
  }
  Deliver(call.id, std::move(answer), effects);
}

void Engine::RefuseWaitingCall(const Call& call,
                               AnswerReason reason,
                               TimePoint now,
                               Effects& effects) {
  m_waiting_calls.erase(call.id);
  Refuse(call, reason, now, effects);
}

void Engine::Abandon(const CallId& id, TimePoint now, Effects& effects) {
  const auto waiting = m_waiting_calls.find(id);
  if (waiting != m_waiting_calls.end()) {
    const WaitingCall call = waiting->second;
    m_waiting_calls.erase(waiting);
    (void)call.service->queue.Take(call.key);
    return ArmWaitingTimer(*call.service);
  }
  const auto open = m_calls.find(id);
  if (open != m_calls.end()) {
    CloseCall(open->second, effects);
    StartWaitingCalls(now, effects);
  }
}

}  // namespace jacinthdeck
