// Keeps targets that refuse or reset connections out of the choice, and probes
// them.
//
// Only such a connection counts, as the machine of the target answers it. A
// host whose own link is at fault sees connections time out, and would
// otherwise take every target for gone.
#include <algorithm>
#include <vector>

#include "jacinthdeck/forward/forwarder.h"

namespace jacinthdeck {

void Forwarder::OnConnectionRefused(TrackedTarget& target,
                                    Duration took,
                                    TimePoint now) {
  if (target.is_removed() || !m_unreachable.Add(target.entry().id, took, now)) {
    return;
  }
  target.SetUnreachable(true);
  ++m_counters.became_unreachable;
  m_port.OnReachabilityChange(target.entry(), false);
}

void Forwarder::UpdateReachability(const TargetId& id,
                                   TargetCheck result,
                                   TimePoint now) {
  TrackedTarget* target = m_targets.Find(id);
  if (target == nullptr) {
    return;
  }
  if (m_unreachable.Contains(id)) {
    // Another process may listen at the address by now.
    if (result == TargetCheck::kReachable &&
        !m_targets.IsAddressReused(*target)) {
      EndUnreachable(id);
    } else {
      m_unreachable.OnProbeFailed(id, now);
    }
    return;
  }
  if (result == TargetCheck::kUnreachable || result == TargetCheck::kReset) {
    const auto since = m_crash_guard.unresolved().CheckingSince(id);
    OnConnectionRefused(*target, now - since.value_or(now), now);
  }
}

void Forwarder::EndUnreachable(const TargetId& id) {
  if (!m_unreachable.Remove(id)) {
    return;
  }
  TrackedTarget* target = m_targets.Find(id);
  if (target == nullptr) {
    return;
  }
  target->SetUnreachable(false);
  if (!target->is_removed()) {
    ++m_counters.became_reachable;
    m_port.OnReachabilityChange(target->entry(), true);
  }
}

void Forwarder::DropReplacedUnreachable() {
  for (const TargetId& id : m_unreachable.Targets()) {
    const TrackedTarget* target = m_targets.Find(id);
    if (target == nullptr || target->is_removed() ||
        !target->is_unreachable()) {
      EndUnreachable(id);
    }
  }
}

void Forwarder::ProbeUnreachableTargets(TimePoint now) {
  for (const TargetId& id : m_unreachable.TakeDue(now)) {
    const TrackedTarget* target = m_targets.Find(id);
    if (target == nullptr) {
      (void)m_unreachable.Remove(id);
      continue;
    }
    ++m_counters.target_probes;
    CheckTarget(*target);
  }
}

std::optional<TimePoint> Forwarder::NextProbeResult(const ServiceId& service,
                                                    TimePoint now) const {
  std::optional<TimePoint> earliest;
  for (const TargetId& id : m_targets.Unreachable(service)) {
    const auto result = m_unreachable.NextResult(id, now);
    if (result) {
      earliest = std::min(earliest.value_or(*result), *result);
    }
  }
  return earliest;
}

std::optional<TimePoint> Forwarder::ShardsBackAt(const PendingCall& pending,
                                                 TimePoint now) const {
  std::size_t live = 0;
  std::vector<TimePoint> results;
  for (const CallPart& part : pending.parts) {
    if (m_targets.CountLive(part.service) > 0) {
      ++live;
    } else if (const auto result = NextProbeResult(part.service, now)) {
      results.push_back(*result);
    }
  }
  const std::size_t needed = pending.route->min_shards();
  if (live >= needed || live + results.size() < needed) {
    return std::nullopt;
  }
  std::ranges::sort(results);
  return results[needed - live - 1];
}

}  // namespace jacinthdeck
