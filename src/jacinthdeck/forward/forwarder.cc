// Configuration, targets, hosts and timers of the forwarder.
#include "jacinthdeck/forward/forwarder.h"

#include <algorithm>
#include <utility>

namespace jacinthdeck {

Forwarder::Forwarder(const ForwardOptions& options,
                     ForwardPort& port,
                     std::uint64_t seed,
                     TimePoint now)
    : m_options(options),
      m_port(port),
      m_random(seed),
      m_call_memory(std::make_shared<ByteBudget>(options.call_memory)),
      m_targets(options.domain, m_random.DrawSeed()),
      m_share_since(now),
      m_admission(seed),
      m_waiting(options.max_waiting_calls) {}

std::optional<TimePoint> Forwarder::NextTimer() const {
  std::optional<TimePoint> earliest;
  for (const auto& due :
       {m_timers.Next(), m_stale_attempts.Next(), m_crash_guard.NextDue(),
        m_unreachable.NextDue(), NextWaitingCheck()}) {
    if (due) {
      earliest = std::min(earliest.value_or(*due), *due);
    }
  }
  return earliest;
}

bool Forwarder::SetConfig(std::shared_ptr<const RoutingConfig> config) {
  if (m_config != nullptr && config->version() <= m_config->version()) {
    return false;
  }
  m_config = std::move(config);
  m_round_robins.clear();
  return true;
}

void Forwarder::SetTargets(std::span<const TargetEntry> entries,
                           TimePoint now) {
  m_targets.Replace(entries, now);
  DropReplacedUnreachable();
  ResolveReplacedTargets(now);
}

void Forwarder::SetHosts(std::uint32_t hosts, bool self, TimePoint now) {
  if (m_hosts == std::max(hosts, 1U) && m_has_share == self) {
    return;
  }
  if (self && !m_has_share) {
    m_share_since = now;
  }
  m_hosts = std::max(hosts, 1U);
  m_has_share = self;
  for (auto& [service, budget] : m_budgets) {
    UpdateBudgetShare(budget);
  }
}

void Forwarder::UpdateBudgetShare(AttemptBudget& budget) const {
  budget.SetShare(m_has_share ? 1.0 / m_hosts : 0, m_share_since);
}

void Forwarder::OnTimer(TimePoint now) {
  while (const auto due = m_timers.TakeDue(now)) {
    OnCallTimer(m_calls.at(*due), now);
  }
  while (const auto due = m_stale_attempts.TakeDue(now)) {
    CancelAttempt(*due, now, now);
  }
  CheckDueTargets(now);
  ApplyGuardChanges(m_crash_guard.TakeDueEvidence(now));
  ProbeUnreachableTargets(now);
  if (const auto due = NextWaitingCheck(); due && *due <= now) {
    CheckWaitingCalls(now);
  }
}

void Forwarder::OnCallTimer(PendingCall& pending, TimePoint now) {
  if (now >= pending.final_at) {
    Finish(pending, now);
    return;
  }
  if (now >= pending.partial_at &&
      pending.answered >= pending.route->min_shards()) {
    Finish(pending, now);
    return;
  }
  for (std::size_t index = 0; index < pending.parts.size(); ++index) {
    CallPart& part = pending.parts[index];
    if (part.phase != internal::PartPhase::kOpen) {
      continue;
    }
    if (part.retry_at && *part.retry_at <= now) {
      part.retry_at.reset();
      RetryOrGiveUp(pending, index, now);
    } else if (part.hedge_at && *part.hedge_at <= now) {
      part.hedge_at.reset();
      TrySendAttempt(pending, index, AttemptReason::kHedge, now);
    }
  }
  FinishIfDone(pending, now);
}

void Forwarder::RearmTimer(const PendingCall& pending) {
  TimePoint at = pending.final_at;
  // With too few answered shards, the call can only be answered when another
  // shard replies, so partial_at needs no timer.
  if (pending.answered >= pending.route->min_shards()) {
    at = std::min(at, pending.partial_at);
  }
  for (const CallPart& part : pending.parts) {
    if (part.phase != internal::PartPhase::kOpen) {
      continue;
    }
    at = std::min(at, part.hedge_at.value_or(at));
    at = std::min(at, part.retry_at.value_or(at));
  }
  m_timers.Set(pending.call.id, at);
}

}  // namespace jacinthdeck
