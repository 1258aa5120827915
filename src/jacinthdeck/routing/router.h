// Chooses a target for each attempt and holds the limits, the budgets and what
// is known of targets.
#ifndef JACINTHDECK_ROUTING_ROUTER_H_
#define JACINTHDECK_ROUTING_ROUTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <variant>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/routing/attempt.h"
#include "jacinthdeck/routing/target_info.h"

namespace jacinthdeck {

/*! \brief What the engine asks the router for. */
struct RouteRequest {
  ServiceId service;
  //! Targets that hold the shard in the pinned version.
  std::span<const TargetId> replicas;
  //! Targets that this call already tried for the shard; taken again only for a
  //! retry that has no other.
  std::span<const TargetId> tried;
  AttemptKind kind = AttemptKind::kFirst;
};

/*! \brief Why no target was chosen. */
enum class RouteRefusal {
  //! No replica may get new work at all.
  kNoReplica,
  //! Replicas exist, but each is at this entry's limit: ask again after an
  //! attempt has finished.
  kAtLimit,
  //! The budget for hedges or retries is spent.
  kNoBudget,
};

//! Names of the refusals, for logs and metrics.
inline constexpr NameTable<RouteRefusal, 3> kRouteRefusalNames{
    {"no_replica", "at_limit", "no_budget"}};

/*! \brief How an attempt ended, as the router learns from it. */
struct AttemptResult {
  TargetId target;
  AttemptStatus status = AttemptStatus::kAnswered;
  //! From sending to the end.
  Duration latency{};
  //! Load that the target reported with its reply, 0 to 1; a hint that may lie.
  std::optional<double> reported_load;
};

/**
 * \brief Replica choice, limits and budgets of one entry.
 *
 * Deterministic: time and seed are passed in. Every Choose() that gives a
 * target is followed by exactly one Finish() for it.
 */
class Router {
 public:
  explicit Router(std::uint64_t seed);

  /*! \brief Tells how long to wait for a first attempt before a hedge is worth
   * its load. */
  [[nodiscard]] Duration HedgeDelay(const ServiceId& service) const;

  /*! \brief Finds what is known of a target; null when it is not known. */
  [[nodiscard]] const TargetInfo* FindTarget(const TargetId& target) const;

  /**
   * \brief Replaces the known targets.
   * \param targets All targets of all services.
   * \param now Present time.
   */
  void SetTargets(const std::vector<TargetInfo>& targets, TimePoint now);

  /**
   * \brief Says among how many entries the limits of the targets are shared.
   * \param entries Entries that may hold connections now, this one included; at
   * least 1.
   */
  void SetEntryCount(std::uint32_t entries);

  /**
   * \brief Chooses a target and takes one place of this entry's limit on it.
   * \param request What is to be sent.
   * \param now Present time.
   * \return The target, or why there is none.
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
  struct Entry {
    TargetInfo info;
    std::uint32_t in_flight = 0;
  };

  std::map<TargetId, Entry> m_targets;
  std::uint32_t m_entries = 1;
  Random m_random;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_ROUTER_H_
