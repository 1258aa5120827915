// Calls that wait until their targets have room: when they start, and when they
// are refused.
#include <algorithm>
#include <utility>

#include "jacinthdeck/forward/forwarder.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! Shortest time between two checks of the waiting calls. A fan-out ends dozens
//! of attempts per millisecond, and each check looks at the targets of all its
//! shards.
constexpr Duration kMinCheckInterval = milliseconds(1);
//! Longest time between two checks: room also comes from the attempts of other
//! hosts.
constexpr Duration kMaxCheckInterval = milliseconds(4);
//! Relative load of a flow from which its calls queue behind those that wait,
//! even if there is room.
constexpr double kQueueingCost = 1.5;

}  // namespace

bool Forwarder::MayQueue(const PendingCall& pending) const {
  switch (m_options.wait_rule) {
    case WaitRule::kNever:
      return false;
    case WaitRule::kWithAccounts:
      return !pending.config->tenants()->empty();
    case WaitRule::kAlways:
      break;
  }
  return true;
}

WaitingCall Forwarder::DescribeWaiting(const PendingCall& pending,
                                       TimePoint now) {
  WaitingCall call;
  call.id = pending.call.id;
  call.group = pending.parts.front().service;
  call.flow = pending.call.flow;
  const Tenant* tenant = pending.config->tenants()->Find(pending.call.tenant);
  call.weight = tenant != nullptr && tenant->limited() ? tenant->rate : 1;
  m_flow_load.Add(call.flow, call.weight, now);
  call.cost = m_flow_load.CostOf(call.flow, call.weight) *
              static_cast<double>(pending.parts.size());
  call.priority = PriorityOf(pending);
  UsualTimeLeft& usual = m_usual_times_left[pending.route->name];
  const Duration time_left = pending.final_at - now;
  call.returning = usual.IsReturning(time_left);
  usual.Add(time_left);
  call.arrived = pending.call.arrived;
  const Duration limit = DelayLimit(pending);
  m_admission.OnCall(call.group, limit, now);
  // Calls that start later are often still unanswered at the deadline.
  call.start_by =
      pending.final_at -
      std::max(pending.profile->min_useful_time(), pending.route->objective);
  call.in_time_until = std::min(
      AdmissionPolicy::InTimeUntil(call.arrived, limit), call.start_by);
  return call;
}

// Calls of other flows start at once while there is room: if all joined the
// queue, it would use the room for calls that have lost part of their time.
bool Forwarder::MustQueue(const WaitingCall& call) const {
  return m_flow_load.CostOf(call.flow, call.weight) > kQueueingCost &&
         m_waiting.CountOf(call.group, WaitClass::kInTime) > 0;
}

void Forwarder::StartOrWait(PendingCall pending,
                            std::optional<ForwardReason> reason,
                            TimePoint now) {
  WaitingCall call = DescribeWaiting(pending, now);
  if (reason && *reason != ForwardReason::kOverload) {
    return RefuseNotRun(pending, *reason, now);
  }
  const bool starts = !reason && !MustQueue(call);
  m_admission.OnOffered(call.group, starts);
  if (starts) {
    m_admission.OnStart(call.group, WaitClass::kInTime, now);
    return Start(std::move(pending), now);
  }
  const CallId id = call.id;
  pending.trace.queue_place =
      1 + static_cast<std::uint32_t>(
              m_waiting.StartsAhead(call, WaitClass::kInTime));
  m_held.emplace(id, std::move(pending));
  Hold(std::move(call), WaitClass::kInTime, now);
}

void Forwarder::Hold(WaitingCall call, WaitClass wait_class, TimePoint now) {
  if (!m_admission.MayWait(m_waiting, call, wait_class, now)) {
    if (wait_class == WaitClass::kInTime) {
      return Hold(std::move(call), WaitClass::kLate, now);
    }
    return Shed(call.id, ShedReason::kLongQueue, ForwardReason::kOverload, now);
  }
  if (const auto excess = m_waiting.Add(std::move(call), wait_class)) {
    Shed(excess->id, ShedReason::kFlowShare, ForwardReason::kOverload, now);
  }
}

void Forwarder::Shed(CallId id,
                     ShedReason shed_reason,
                     ForwardReason reason,
                     TimePoint now) {
  ++m_counters.shed[static_cast<std::size_t>(shed_reason)];
  const auto found = m_held.find(id);
  PendingCall pending = std::move(found->second);
  m_held.erase(found);
  pending.trace.waited = now - pending.call.arrived;
  if (reason == ForwardReason::kUnknownKey) {
    return Refuse(pending.call, AnswerKind::kUnauthorized, reason, std::nullopt,
                  pending.trace);
  }
  RefuseNotRun(pending, reason, now);
}

std::optional<TimePoint> Forwarder::NextWaitingCheck() const {
  const auto due = m_waiting.NextDue();
  return due ? std::optional(
                   std::min(*due, m_waiting_checked + kMaxCheckInterval))
             : std::nullopt;
}

void Forwarder::OnRoom(TimePoint now) {
  if (!m_waiting.empty() && now >= m_waiting_checked + kMinCheckInterval) {
    CheckWaitingCalls(now);
  }
}

void Forwarder::CheckWaitingCalls(TimePoint now) {
  m_waiting_checked = now;
  while (auto due = m_waiting.TakeDue(now)) {
    if (now < due->start_by) {
      Hold(std::move(*due), WaitClass::kLate, now);
    } else {
      Shed(due->id, ShedReason::kExpired, ForwardReason::kOverload, now);
    }
  }
  for (const ServiceId& group : m_waiting.Groups()) {
    while (m_waiting.Next(group) != nullptr && StartNextOf(group, now)) {
    }
  }
}

bool Forwarder::StartNextOf(const ServiceId& group, TimePoint now) {
  const WaitingCall& next = *m_waiting.Next(group);
  const WaitClass wait_class = m_waiting.NextClass(group);
  PendingCall& held = m_held.at(next.id);
  const auto reason = ReasonToRefuse(held, now);
  const bool lost = reason && *reason != ForwardReason::kOverload;
  const bool unknown = IsAccountGone(held);
  if (!lost && !unknown &&
      !AdmissionPolicy::MayStart(next, wait_class, held.trace.expected,
                                 m_admission.StartLimit(group), now)) {
    return false;
  }
  const WaitingCall call = m_waiting.TakeNext(group);
  if (lost || unknown) {
    Shed(call.id, ShedReason::kLost,
         unknown ? ForwardReason::kUnknownKey : *reason, now);
    return true;
  }
  m_admission.OnStart(group, wait_class, now);
  ++m_counters.started_after_wait;
  PendingCall pending = std::move(held);
  m_held.erase(call.id);
  pending.trace.waited = now - pending.call.arrived;
  // The times that attempts may take count from the start. Counted from the
  // arrival, a shard without capacity at the start would be given up at once,
  // and the call would fail after the others have run.
  pending.call.arrived = now;
  if (wait_class == WaitClass::kLate) {
    SetDeadlines(pending);
  }
  Start(std::move(pending), now);
  return true;
}

bool Forwarder::IsAccountGone(const PendingCall& pending) const {
  return !pending.call.tenant.raw().empty() && !m_config->tenants()->empty() &&
         m_config->tenants()->Find(pending.call.tenant) == nullptr;
}

}  // namespace jacinthdeck
