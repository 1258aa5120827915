// Thin replica choice: least in flight among the replicas that are not at their
// limit.
#include "jacinthdeck/routing/router.h"

#include <algorithm>

namespace jacinthdeck {

Router::Router(std::uint64_t seed) : m_random(seed) {}

Duration Router::HedgeDelay(const ServiceId& /*service*/) const {
  return std::chrono::milliseconds(50);
}

const TargetInfo* Router::FindTarget(const TargetId& target) const {
  const auto found = m_targets.find(target);
  return found == m_targets.end() ? nullptr : &found->second.info;
}

void Router::SetTargets(const std::vector<TargetInfo>& targets,
                        TimePoint /*now*/) {
  for (auto& [id, entry] : m_targets) {
    entry.info.state = TargetState::kGone;
  }
  for (const TargetInfo& info : targets) {
    m_targets[info.id].info = info;
  }
}

void Router::SetEntryCount(std::uint32_t entries) {
  m_entries = std::max<std::uint32_t>(entries, 1);
}

std::variant<TargetId, RouteRefusal> Router::Choose(const RouteRequest& request,
                                                    TimePoint /*now*/) {
  Entry* best = nullptr;
  RouteRefusal refusal = RouteRefusal::kNoReplica;
  for (const TargetId& id : request.replicas) {
    const auto found = m_targets.find(id);
    if (found == m_targets.end() ||
        found->second.info.state != TargetState::kLive ||
        std::ranges::find(request.tried, id) != request.tried.end()) {
      continue;
    }
    Entry& entry = found->second;
    if (entry.in_flight >=
        std::max<std::uint32_t>(1, entry.info.connections / (m_entries + 1))) {
      refusal = RouteRefusal::kAtLimit;
      continue;
    }
    if (best == nullptr || entry.in_flight < best->in_flight ||
        (entry.in_flight == best->in_flight && m_random.Below(2) == 0)) {
      best = &entry;
    }
  }
  if (best == nullptr) {
    return refusal;
  }
  ++best->in_flight;
  return best->info.id;
}

void Router::Finish(const AttemptResult& result, TimePoint /*now*/) {
  const auto found = m_targets.find(result.target);
  if (found != m_targets.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
  }
}

}  // namespace jacinthdeck
