// Ranks the replicas of a request and picks one of them.
#include <algorithm>

#include "jacinthdeck/routing/router.h"

namespace jacinthdeck {

void Router::CollectCandidates(const RouteRequest& request, TimePoint now) {
  m_candidates.clear();
  const std::uint32_t hosts = m_host_count.Highest(now);
  for (const TargetId& id : request.replicas) {
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
      continue;
    }
    TargetRecord& target = found->second;
    target.ShareSlots(hosts);
    const TargetRank rank = target.Rank(now);
    if (rank == TargetRank::kExcluded) {
      continue;
    }
    const bool tried =
        std::ranges::find(request.tried, id) != request.tried.end();
    // A retry immediately after a shed would find the same full queue, and the
    // call would spend its retries within a few milliseconds, so it waits.
    const bool retry_waits =
        request.kind == AttemptKind::kRetry && target.HasShedRecently(now);
    const bool full = retry_waits ||
                      target.IsFull(ConnectionShareOf(target.info(), now), now);
    m_candidates.push_back(Candidate{&target, rank, tried, full});
  }
  UpdatePeerLatencies();
  LimitEjections();
}

// A fault of the network or of the service makes many targets look bad at once.
// If all of them were ejected, the remaining ones would be overloaded or the
// shard would be unreachable. At most half of a replica set is therefore
// ejected; the targets with the most recent replies are ranked as degraded
// instead.
void Router::LimitEjections() {
  const auto is_ejected = [](const Candidate& candidate) {
    return candidate.rank == TargetRank::kEjected;
  };
  const auto by_last_reply = [](const Candidate& a, const Candidate& b) {
    return a.target->last_reply() < b.target->last_reply();
  };
  const auto ejected_end =
      std::partition(m_candidates.begin(), m_candidates.end(), is_ejected);
  const auto count =
      static_cast<std::size_t>(ejected_end - m_candidates.begin());
  const std::size_t max_ejected = m_candidates.size() / 2;
  if (count <= max_ejected) {
    return;
  }
  std::sort(m_candidates.begin(), ejected_end, by_last_reply);
  for (std::size_t i = max_ejected; i < count; ++i) {
    m_candidates[i].rank = TargetRank::kDegraded;
  }
}

// Gives each candidate the latency of its fastest peer that holds the same
// data. Slowness is relative to these peers, since all of them are slow under
// high load. Ejected targets are not compared: they get only probes.
void Router::UpdatePeerLatencies() {
  for (const Candidate& candidate : m_candidates) {
    Duration fastest{};
    for (const Candidate& peer : m_candidates) {
      const Duration latency = peer.target->latency();
      if (peer.target == candidate.target ||
          peer.rank == TargetRank::kEjected || latency == Duration::zero()) {
        continue;
      }
      fastest =
          fastest == Duration::zero() ? latency : std::min(fastest, latency);
    }
    candidate.target->set_peer_latency(fastest);
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
  if (request.kind == AttemptKind::kHedge) {
    return PickHedge(request, now);
  }
  if (TargetRecord* probe = PickProbe(request, now)) {
    return probe;
  }
  if (TargetRecord* best = PickTrusted(request, false, now)) {
    return best;
  }
  if (request.kind == AttemptKind::kRetry) {
    // Otherwise two retries could each wait for the target that the other one
    // tried, and block each other in the engine's queues until their deadlines.
    if (TargetRecord* again = PickTrusted(request, true, now)) {
      return again;
    }
  }
  // Ejected targets get only probes. At least half of the replicas are not
  // ejected, so the request waits for a full window of one of them.
  const bool any_not_ejected =
      std::ranges::any_of(m_candidates, [](const Candidate& c) {
        return !c.tried && c.rank != TargetRank::kEjected;
      });
  return any_not_ejected || request.kind == AttemptKind::kRetry
             ? RouteRefusal::kAtLimit
             : RouteRefusal::kNoReplica;
}

std::variant<TargetRecord*, RouteRefusal> Router::PickHedge(
    const RouteRequest& request,
    TimePoint now) {
  if (TargetRecord* best =
          PickRank(request, TargetRank::kPreferred, false, now)) {
    return best;
  }
  // A hedge never queues behind other requests. A failover replaces a request
  // at a lost target, so it is not extra load: it may exceed the in-flight
  // window, but not the share of connections.
  if (IsFailover(request, now)) {
    for (Candidate& candidate : m_candidates) {
      const TargetRecord& target = *candidate.target;
      candidate.at_limit =
          target.IsSuspect(now) ||
          target.in_flight() >= ConnectionShareOf(target.info(), now);
    }
    for (const bool tried : {false, true}) {
      if (TargetRecord* other = PickTrusted(request, tried, now)) {
        return other;
      }
    }
  }
  ++m_counters.refused_saturated;
  return RouteRefusal::kNoBudget;
}

TargetRecord* Router::PickTrusted(const RouteRequest& request,
                                  bool tried,
                                  TimePoint now) {
  TargetRecord* best = PickRank(request, TargetRank::kPreferred, tried, now);
  return best != nullptr ? best
                         : PickRank(request, TargetRank::kDegraded, tried, now);
}

TargetRecord* Router::PickRank(const RouteRequest& request,
                               TargetRank rank,
                               bool tried,
                               TimePoint now) {
  m_views.clear();
  m_view_targets.clear();
  for (const Candidate& candidate : m_candidates) {
    if (candidate.rank != rank || candidate.tried != tried ||
        candidate.at_limit) {
      continue;
    }
    ReplicaView view = candidate.target->View(now);
    view.shares_domain = SharesDomain(request, candidate.target->info().domain);
    m_views.push_back(view);
    m_view_targets.push_back(candidate.target);
  }
  if (m_view_targets.empty()) {
    return nullptr;
  }
  return m_view_targets[m_options.chooser->Pick(m_views, m_random)];
}

bool Router::IsFailover(const RouteRequest& request, TimePoint now) const {
  if (request.kind != AttemptKind::kHedge || request.tried.empty()) {
    return false;
  }
  const auto found = m_targets.find(request.tried.back());
  return found == m_targets.end() || found->second.IsSuspect(now);
}

bool Router::SharesDomain(const RouteRequest& request,
                          const FailureDomain& domain) const {
  return std::ranges::any_of(request.tried, [&](const TargetId& id) {
    const TargetInfo* info = FindTarget(id);
    return info != nullptr && info->domain == domain;
  });
}

}  // namespace jacinthdeck
