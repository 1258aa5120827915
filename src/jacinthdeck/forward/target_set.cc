// Scores every target of the service; a service has a few to a few dozen
// targets.
#include "jacinthdeck/forward/target_set.h"

#include <algorithm>
#include <limits>
#include <unordered_set>
#include <utility>

namespace jacinthdeck {

namespace {

//! Cost of a target outside the failure domain of this host, in mean latencies:
//! its answers take longer and cause traffic between domains.
constexpr double kOtherDomainCost = 1.5;
//! The same, compared with a target in the own domain that is expected to
//! answer fast enough: an even earlier answer has no value for the caller.
constexpr double kUnneededOtherDomainCost = 3.0;
//! Divisor of the objective: a target that answers within this part of it is
//! fast enough. The rest is left for the slowest shard and for a hedge.
constexpr int kFastEnoughDivisor = 2;
//! Random part of a score: hosts with the same view must not all send to the
//! same target.
constexpr double kJitter = 0.1;
//! Cost of an unresponsive target, in mean latencies: it is chosen only if no
//! other target is left.
constexpr double kUnresponsiveCost = 1000;
//! Cost of a target that was already sent the request, in mean latencies.
constexpr double kTriedCost = 10000;
//! Maximum occupancy of the target of a hedge. A hedge needs a free slot: an
//! extra request that waits in a queue delays others and does not help its own
//! call.
constexpr double kMaxHedgeOccupancy = 1.0;

//! A hedge is worth its load at a target whose expected delay is at most this
//! multiple of the remaining time. The expected delay remembers the last pause
//! for some answers, and most answers arrive much sooner; without this
//! tolerance, a hedge would find no target when each of the others paused a
//! moment ago.
constexpr int kHedgeDelayTolerance = 2;

[[nodiscard]] bool Contains(std::span<const TargetId> ids, const TargetId& id) {
  return std::ranges::find(ids, id) != ids.end();
}

[[nodiscard]] bool IsFastEnough(Duration expected,
                                const TargetCriteria& criteria) {
  return expected * kFastEnoughDivisor <= criteria.objective;
}

[[nodiscard]] bool SuitsHedge(const TrackedTarget& target,
                              const TargetCriteria& criteria,
                              TimePoint now) {
  return !Contains(criteria.tried, target.entry().id) &&
         !target.IsUnresponsive(now) &&
         target.Occupancy(now) < kMaxHedgeOccupancy;
}

//! Returns whether this host may have one more attempt in flight at the target.
[[nodiscard]] bool HasCapacity(const TrackedTarget& target,
                               const TargetCriteria& criteria) {
  const std::size_t counted =
      criteria.required ? target.required_in_flight() : target.in_flight();
  return counted < MaxInFlight(criteria.share, target.entry().slots) &&
         target.in_flight() < std::max(criteria.share.connections, 1U);
}

}  // namespace

TargetSet::TargetSet(FailureDomain domain, std::uint64_t seed)
    : m_domain(std::move(domain)), m_random(seed) {}

std::size_t TargetSet::CountLive(const ServiceId& service) const {
  const auto found = m_by_service.find(service);
  if (found == m_by_service.end()) {
    return 0;
  }
  return static_cast<std::size_t>(
      std::ranges::count_if(found->second, &TrackedTarget::AcceptsRequests));
}

std::vector<TargetId> TargetSet::Unreachable(const ServiceId& service) const {
  std::vector<TargetId> ids;
  const auto found = m_by_service.find(service);
  if (found == m_by_service.end()) {
    return ids;
  }
  for (const TrackedTarget* target : found->second) {
    if (target->is_unreachable() && target->entry().AcceptsRequests()) {
      ids.push_back(target->entry().id);
    }
  }
  return ids;
}

TrackedTarget* TargetSet::Find(const TargetId& id) {
  const auto found = m_targets.find(id);
  return found == m_targets.end() ? nullptr : found->second.get();
}

bool TargetSet::IsAddressReused(const TrackedTarget& target) const {
  return std::ranges::any_of(m_targets, [&](const auto& item) {
    const TrackedTarget& other = *item.second;
    return !other.is_removed() && other.known_since() > target.known_since() &&
           other.entry().port == target.entry().port &&
           other.entry().address == target.entry().address;
  });
}

TargetChoice TargetSet::Pick(const TargetCriteria& criteria, TimePoint now) {
  const auto found = m_by_service.find(criteria.service);
  if (found == m_by_service.end()) {
    return {};
  }
  TargetChoice best;
  double best_score = std::numeric_limits<double>::max();
  for (TrackedTarget* target : found->second) {
    if (!target->AcceptsRequests() || !HasCapacity(*target, criteria) ||
        !IsWithinColdLimit(*target, criteria, now)) {
      continue;
    }
    const Duration expected =
        target->ExpectedDelay(criteria.route_latency, now);
    const bool hedge = criteria.reason == AttemptReason::kHedge;
    if (hedge && !SuitsHedge(*target, criteria, now)) {
      continue;
    }
    const Duration tolerated =
        hedge ? expected / kHedgeDelayTolerance : expected;
    if (tolerated > criteria.useful_time &&
        (hedge || target->in_flight() > 0)) {
      continue;
    }
    const double score = Score(*target, criteria, expected, now);
    if (score < best_score) {
      best_score = score;
      best = {target, expected};
    }
  }
  return best;
}

Duration TargetSet::MeanServedLatency(const ServiceId& service,
                                      Duration fallback) const {
  Duration sum{};
  int measured = 0;
  const auto found = m_by_service.find(service);
  if (found == m_by_service.end()) {
    return fallback;
  }
  for (const TrackedTarget* target : found->second) {
    if (target->AcceptsRequests() &&
        target->mean_served_latency() > Duration::zero()) {
      sum += target->mean_served_latency();
      ++measured;
    }
  }
  return measured == 0 ? fallback : sum / measured;
}

void TargetSet::Replace(std::span<const TargetEntry> entries, TimePoint now) {
  std::unordered_set<TargetId> listed;
  for (const TargetEntry& entry : entries) {
    listed.insert(entry.id);
    auto& slot = m_targets[entry.id];
    if (slot == nullptr) {
      slot = std::make_unique<TrackedTarget>(entry, now);
    } else {
      slot->SetEntry(entry, now);
    }
  }
  m_by_service.clear();
  m_available = 0;
  std::erase_if(m_targets, [&](const auto& item) {
    return !listed.contains(item.first) && item.second->in_flight() == 0;
  });
  for (auto& [id, target] : m_targets) {
    if (!listed.contains(id)) {
      target->MarkRemoved();
      continue;
    }
    m_by_service[target->entry().service].push_back(target.get());
    m_available += target->entry().AcceptsRequests() ? 1 : 0;
  }
}

bool TargetSet::IsWithinColdLimit(const TrackedTarget& target,
                                  const TargetCriteria& criteria,
                                  TimePoint now) const {
  return criteria.cold_rate <= 0 || !target.entry().IsCold(now) ||
         m_cold_limiter.MaySend(target.entry().id, criteria.cold_rate,
                                target.last_sent(), now);
}

double TargetSet::Score(const TrackedTarget& target,
                        const TargetCriteria& criteria,
                        Duration expected,
                        TimePoint now) {
  const double mean = static_cast<double>(
      std::max(criteria.route_latency.mean, Duration(1)).count());
  double score = static_cast<double>(expected.count()) / mean;
  score *= 1 + kJitter * m_random.Unit();
  if (target.entry().domain != m_domain) {
    score += kUnneededOtherDomainCost;
  } else if (!IsFastEnough(expected, criteria)) {
    score += kUnneededOtherDomainCost - kOtherDomainCost;
  }
  score += target.IsUnresponsive(now) ? kUnresponsiveCost : 0;
  score += Contains(criteria.tried, target.entry().id) ? kTriedCost : 0;
  return score;
}

}  // namespace jacinthdeck
