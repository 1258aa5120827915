// Chooses a target for each attempt and holds the limits, the budgets and what
// is known of targets.
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
 * \brief Replica choice, limits and budgets of one entry.
 *
 * Deterministic: time and seed are passed in. Every Choose() that gives a
 * target is followed by exactly one Finish() for it.
 */
class Router {
 public:
  /*! \brief Makes a router with the default options. */
  explicit Router(std::uint64_t seed);

  /**
   * \brief Makes a router.
   * \param seed Seed of all its randomness.
   * \param options Strategies, budgets and shares.
   */
  Router(std::uint64_t seed, RouterOptions options);

  /*! \brief Tells how long to wait for a first attempt before a hedge is worth
   * its load; kNoHedge where none ever is. */
  [[nodiscard]] Duration HedgeDelay(const ServiceId& service) const;

  /*! \brief Finds what is known of a target; null when it is not known. */
  [[nodiscard]] const TargetInfo* FindTarget(const TargetId& target) const;

  /*! \brief Tells whether a target gets more than probes. */
  [[nodiscard]] bool IsAvailable(const TargetId& target, TimePoint now) const;

  /*! \brief Counts since the start. */
  [[nodiscard]] const RouterCounters& counters() const noexcept {
    return m_counters;
  }

  /*! \brief Tells whether sheds are common in a service: it then has no room
   * for extra requests, and new work should be refused early. */
  [[nodiscard]] bool IsSaturated(const ServiceId& service) const;

  /*! \brief Describes all targets, for the status page. */
  [[nodiscard]] std::vector<TargetSnapshot> Snapshot(TimePoint now);

  /*! \brief Most connections that this entry may hold to a target; 0 for one
   * that is unknown or not live. */
  [[nodiscard]] std::uint32_t ConnectionLimit(const TargetId& target,
                                              TimePoint now);

  /**
   * \brief Plans the connections to a target.
   * \param target Target.
   * \param now Present time.
   * \return The plan; nothing may be opened to a target that is unknown or not
   * live.
   */
  [[nodiscard]] ConnectionPlan ConnectionPlanFor(const TargetId& target,
                                                 TimePoint now);

  /**
   * \brief Replaces the known targets.
   * \param targets All targets of all services.
   * \param now Present time.
   */
  void SetTargets(const std::vector<TargetInfo>& targets, TimePoint now);

  /**
   * \brief Says among how many entries the limits of the targets are shared.
   * \param hosts Entries that may hold connections now, this one included; at
   * least 1. A fall takes effect after RouterOptions::host_count_window.
   * \param now Present time.
   */
  void SetHostCount(std::uint32_t hosts, TimePoint now);

  /**
   * \brief Chooses a target and takes one place of this entry's limit on it.
   * \param request What is to be sent.
   * \param now Present time.
   * \return The target, or why there is none. After kAtLimit an attempt of this
   * entry is in flight at one of the replicas, so an end will follow; a retry
   * also gets it during the pause after a shed, at most a third of a second,
   * and has to ask again by itself.
   */
  [[nodiscard]] std::variant<TargetId, RouteRefusal> Choose(
      const RouteRequest& request,
      TimePoint now);

  /**
   * \brief Gives the place back and learns from the end of the attempt.
   * \param result How the attempt ended.
   * \param now Present time.
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
  //! A hedge whose latest attempt is at a target that is likely lost.
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
  //! Moment of the first event, from which the newcomer's hold counts.
  std::optional<TimePoint> m_first_event;
  std::unordered_map<ServiceId, ServiceRecord> m_services;
  //! Records stay while requests are in flight, also once the target is gone.
  std::unordered_map<TargetId, TargetRecord> m_targets;
  RouterCounters m_counters;
  //! Scratch of one Choose(), kept to save allocations.
  std::vector<Candidate> m_candidates;
  std::vector<ReplicaView> m_views;
  std::vector<TargetRecord*> m_view_targets;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_ROUTER_H_
