// Chooses a target for each attempt, and maintains the limits, the budgets and
// the statistics of targets.
#ifndef JACINTHDECK_ROUTING_ROUTER_H_
#define JACINTHDECK_ROUTING_ROUTER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/routing/attempt.h"
#include "jacinthdeck/routing/connection_plan.h"
#include "jacinthdeck/routing/host_count_window.h"
#include "jacinthdeck/routing/route_request.h"
#include "jacinthdeck/routing/router_counters.h"
#include "jacinthdeck/routing/router_options.h"
#include "jacinthdeck/routing/service_record.h"
#include "jacinthdeck/routing/target_info.h"
#include "jacinthdeck/routing/target_record.h"
#include "jacinthdeck/routing/target_snapshot.h"

namespace jacinthdeck {

/**
 * \brief Replica choice, limits and budgets of one host.
 *
 * The router is deterministic: time and seed are passed in. Each target
 * returned by Choose() must be followed by exactly one Finish() for it.
 */
class Router {
 public:
  /*! \brief Creates a router with the default options. */
  explicit Router(std::uint64_t seed);

  /**
   * \brief Creates a router.
   * \param seed Seed of the random number generator.
   * \param options Strategies, budgets and limits.
   */
  Router(std::uint64_t seed, RouterOptions options);

  /*! \brief Returns how long to wait for a first attempt until a hedge is worth
   * its load; kNoHedge if hedging is off. */
  [[nodiscard]] Duration HedgeDelay(const ServiceId& service) const;

  /*! \brief Returns the description of a target; null if it is unknown. */
  [[nodiscard]] const TargetInfo* FindTarget(const TargetId& target) const;

  /*! \brief Returns true if a target gets regular requests, not only probes. */
  [[nodiscard]] bool IsAvailable(const TargetId& target, TimePoint now) const;

  /*! \brief Returns the counters since construction. */
  [[nodiscard]] const RouterCounters& counters() const noexcept {
    return m_counters;
  }

  /*! \brief Returns true if the shed rate of a service exceeds a limit. The
   * service then has no room for extra requests, and new work should be
   * rejected early. */
  [[nodiscard]] bool IsSaturated(const ServiceId& service) const;

  /*! \brief Returns the state of all targets, for the status page. */
  [[nodiscard]] std::vector<TargetSnapshot> Snapshot(TimePoint now);

  /*! \brief Returns the maximum number of this host's connections to a target;
   * 0 if it is unknown or not live. */
  [[nodiscard]] std::uint32_t ConnectionLimit(const TargetId& target,
                                              TimePoint now);

  /**
   * \brief Plans the connections to a target.
   * \param target Target to connect to.
   * \param now Current time.
   * \return The plan; it allows no connections to a target that is unknown or
   * not live.
   */
  [[nodiscard]] ConnectionPlan ConnectionPlanFor(const TargetId& target,
                                                 TimePoint now);

  /**
   * \brief Replaces the list of known targets.
   * \param targets All targets of all services.
   * \param now Current time.
   */
  void SetTargets(const std::vector<TargetInfo>& targets, TimePoint now);

  /**
   * \brief Sets the number of hosts among which the limits of the targets are
   * divided.
   * \param hosts Hosts that may hold connections now, including this one; at
   * least 1. A decrease takes effect after RouterOptions::host_count_window.
   * \param now Current time.
   */
  void SetHostCount(std::uint32_t hosts, TimePoint now);

  /**
   * \brief Chooses a target and counts a request in flight at it.
   * \param request Attempt that needs a target.
   * \param now Current time.
   * \return The target, or the reason why there is none. With kAtLimit, an
   * attempt of this host is in flight at one of the replicas, so the caller can
   * ask again when it ends. A retry also gets kAtLimit during the backoff after
   * a shed, at most a third of a second, and then has to ask again on its own.
   */
  [[nodiscard]] std::variant<TargetId, RouteRefusal> Choose(
      const RouteRequest& request,
      TimePoint now);

  /**
   * \brief Removes the request in flight and updates the statistics with the
   * result of the attempt.
   * \param result Result of the attempt.
   * \param now Current time.
   */
  void Finish(const AttemptResult& result, TimePoint now);

 private:
  struct Candidate {
    TargetRecord* target = nullptr;
    TargetRank rank = TargetRank::kPreferred;
    bool tried = false;
    bool at_limit = false;
  };

  [[nodiscard]] ServiceRecord& FindOrAddService(const ServiceId& service);
  [[nodiscard]] std::uint32_t ConnectionShareOf(const TargetInfo& info,
                                                TimePoint now);
  [[nodiscard]] RouteRefusal CountRefusal(RouteRefusal refusal) noexcept;
  void CollectCandidates(const RouteRequest& request, TimePoint now);
  void UpdatePeerLatencies();
  void LimitEjections();
  [[nodiscard]] TargetRecord* PickProbe(const RouteRequest& request,
                                        TimePoint now) const;
  [[nodiscard]] std::variant<TargetRecord*, RouteRefusal> Pick(
      const RouteRequest& request,
      TimePoint now);
  [[nodiscard]] std::variant<TargetRecord*, RouteRefusal> PickHedge(
      const RouteRequest& request,
      TimePoint now);
  [[nodiscard]] TargetRecord* PickTrusted(const RouteRequest& request,
                                          bool tried,
                                          TimePoint now);
  [[nodiscard]] TargetRecord* PickRank(const RouteRequest& request,
                                       TargetRank rank,
                                       bool tried,
                                       TimePoint now);
  [[nodiscard]] bool SharesDomain(const RouteRequest& request,
                                  const FailureDomain& domain) const;
  //! Returns true for a hedge whose previous attempt is at a target that is
  //! probably lost.
  [[nodiscard]] bool IsFailover(const RouteRequest& request,
                                TimePoint now) const;
  [[nodiscard]] bool ChargeBudget(AttemptKind kind, ServiceRecord& service);
  [[nodiscard]] HealthSample RecordResult(const AttemptResult& result,
                                          TargetRecord& target,
                                          TimePoint now);
  void CountAttempt(AttemptKind kind) noexcept;

  RouterOptions m_options;
  Random m_random;
  HostCountWindow m_host_count;
  //! Time of the first SetTargets() or SetHostCount(), at which
  //! RouterOptions::startup_hold begins.
  std::optional<TimePoint> m_first_event;
  std::unordered_map<ServiceId, ServiceRecord> m_services;
  //! A record is kept while requests are in flight, even if its target is gone.
  std::unordered_map<TargetId, TargetRecord> m_targets;
  RouterCounters m_counters;
  //! Buffers of a Choose() call, kept as members to avoid allocations.
  std::vector<Candidate> m_candidates;
  std::vector<ReplicaView> m_views;
  std::vector<TargetRecord*> m_view_targets;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_ROUTER_H_
