// Intervals between the probes of targets that refuse connections.
#include "jacinthdeck/forward/unreachable_targets.h"

#include <algorithm>

namespace jacinthdeck {

std::vector<TargetId> UnreachableTargets::Targets() const {
  std::vector<TargetId> ids;
  ids.reserve(m_targets.size());
  for (const auto& [id, target] : m_targets) {
    ids.push_back(id);
  }
  return ids;
}

std::optional<TimePoint> UnreachableTargets::NextResult(const TargetId& target,
                                                        TimePoint now) const {
  const auto found = m_targets.find(target);
  if (found == m_targets.end()) {
    return std::nullopt;
  }
  // A probe in progress may already take longer than the last refusal.
  return std::max(found->second.probe_at, now) + found->second.took;
}

bool UnreachableTargets::Add(const TargetId& target,
                             Duration took,
                             TimePoint now) {
  const TimePoint probe_at = now + kFirstInterval;
  const bool added =
      m_targets.try_emplace(target, Target{kFirstInterval, took, probe_at})
          .second;
  if (added) {
    m_timers.Set(target, probe_at);
  }
  return added;
}

bool UnreachableTargets::Remove(const TargetId& target) {
  m_timers.Remove(target);
  return m_targets.erase(target) > 0;
}

std::vector<TargetId> UnreachableTargets::TakeDue(TimePoint now) {
  std::vector<TargetId> due;
  while (const auto id = m_timers.TakeDue(now)) {
    Target& target = m_targets.at(*id);
    target.probing = true;
    target.probe_at = now;
    due.push_back(*id);
  }
  return due;
}

void UnreachableTargets::OnProbeFailed(const TargetId& id, TimePoint now) {
  const auto found = m_targets.find(id);
  if (found == m_targets.end() || !found->second.probing) {
    return;
  }
  Target& target = found->second;
  target.probing = false;
  target.took = now - target.probe_at;
  target.interval = std::min(target.interval * 2, kMaxInterval);
  target.probe_at = now + target.interval;
  m_timers.Set(id, target.probe_at);
}

}  // namespace jacinthdeck
