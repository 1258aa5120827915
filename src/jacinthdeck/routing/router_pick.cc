// The part of the router that narrows the replicas down to one.
#include <algorithm>

#include "jacinthdeck/routing/router.h"

namespace jacinthdeck {

void Router::Collect(const RouteRequest& request, TimePoint now) {
  m_candidates.clear();
  for (const TargetId& id : request.replicas) {
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
      continue;
    }
    TargetRecord& target = found->second;
    const TargetRank rank = target.Rank(now);
    if (rank == TargetRank::kExcluded) {
      continue;
    }
    const bool tried =
        std::ranges::find(request.tried, id) != request.tried.end();
    const std::uint32_t window =
        target.window().Size(ShareOf(target.info(), now));
    m_candidates.push_back(
        Candidate{&target, rank, tried, target.in_flight() >= window});
  }
  BoundEjections(now);
}

// A fault of the network or of the service makes many targets look bad at once.
// Were all left out, the rest would be overloaded or the shard unreachable, so
// no more than half of a replica set is; the best of the others stay doubtful.
void Router::BoundEjections(TimePoint now) {
  const auto ejected = [](const Candidate& candidate) {
    return candidate.rank == TargetRank::kEjected;
  };
  auto count =
      static_cast<std::size_t>(std::ranges::count_if(m_candidates, ejected));
  for (; count > m_candidates.size() / 2; --count) {
    Candidate* best = nullptr;
    double least = 0;
    for (Candidate& candidate : m_candidates) {
      const double trouble = candidate.target->View(now).trouble_rate;
      if (ejected(candidate) && (best == nullptr || trouble < least)) {
        best = &candidate;
        least = trouble;
      }
    }
    if (best != nullptr) {
      best->rank = TargetRank::kDoubtful;
    }
  }
}

TargetRecord* Router::PickProbe(const RouteRequest& request,
                                TimePoint now) const {
  if (!request.may_probe || request.kind != AttemptKind::kFirst) {
    return nullptr;
  }
  for (const Candidate& candidate : m_candidates) {
    if (candidate.target->health().MayProbe(now) && !candidate.at_limit) {
      return candidate.target;
    }
  }
  return nullptr;
}

std::variant<TargetRecord*, RouteRefusal> Router::Pick(
    const RouteRequest& request,
    TimePoint now) {
  if (TargetRecord* probe = PickProbe(request, now)) {
    return probe;
  }
  if (TargetRecord* best =
          PickRank(request, TargetRank::kPreferred, false, now)) {
    return best;
  }
  if (request.kind == AttemptKind::kHedge) {
    // An extra request never queues behind others.
    ++m_counters.refused_saturated;
    return RouteRefusal::kNoBudget;
  }
  if (TargetRecord* doubtful =
          PickRank(request, TargetRank::kDoubtful, false, now)) {
    return doubtful;
  }
  const bool waits = std::ranges::any_of(m_candidates, [](const Candidate& c) {
    return !c.tried && c.rank != TargetRank::kEjected;
  });
  if (waits) {
    return RouteRefusal::kAtLimit;
  }
  if (request.kind == AttemptKind::kRetry) {
    // A sound target that shed or failed one request beats an ejected one.
    for (const TargetRank rank :
         {TargetRank::kPreferred, TargetRank::kDoubtful}) {
      if (TargetRecord* again = PickRank(request, rank, true, now)) {
        return again;
      }
    }
  }
  if (TargetRecord* ejected =
          PickRank(request, TargetRank::kEjected, false, now)) {
    return ejected;
  }
  const bool all_tried = std::ranges::all_of(m_candidates, &Candidate::tried);
  if (all_tried && request.kind != AttemptKind::kRetry) {
    return RouteRefusal::kNoReplica;
  }
  return RouteRefusal::kAtLimit;
}

TargetRecord* Router::PickRank(const RouteRequest& request,
                               TargetRank rank,
                               bool tried,
                               TimePoint now) {
  m_views.clear();
  m_viewed.clear();
  for (const Candidate& candidate : m_candidates) {
    if (candidate.rank != rank || candidate.tried != tried ||
        candidate.at_limit) {
      continue;
    }
    ReplicaView view = candidate.target->View(now);
    view.shares_domain = SharesDomain(request, candidate.target->info().domain);
    m_views.push_back(view);
    m_viewed.push_back(candidate.target);
  }
  if (m_viewed.empty()) {
    return nullptr;
  }
  return m_viewed[m_options.chooser->Pick(m_views, m_random)];
}

bool Router::IsFailover(const RouteRequest& request, TimePoint now) const {
  return request.kind == AttemptKind::kHedge && !request.tried.empty() &&
         std::ranges::all_of(request.tried, [&](const TargetId& id) {
           const auto found = m_targets.find(id);
           return found == m_targets.end() || found->second.IsSuspect(now);
         });
}

bool Router::SharesDomain(const RouteRequest& request,
                          const FailureDomain& domain) const {
  return std::ranges::any_of(request.tried, [&](const TargetId& id) {
    const TargetInfo* info = FindTarget(id);
    return info != nullptr && info->domain == domain;
  });
}

}  // namespace jacinthdeck
