// What the engine asks a router for, and tells it afterwards.
#ifndef JACINTHDECK_ROUTING_ROUTE_REQUEST_H_
#define JACINTHDECK_ROUTING_ROUTE_REQUEST_H_

#include <optional>
#include <span>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/routing/attempt.h"

namespace jacinthdeck {

/*! \brief What the engine asks the router for. */
struct RouteRequest {
  ServiceId service;
  //! Targets that hold the shard in the pinned version.
  std::span<const TargetId> replicas;
  //! Targets that this call already tried for the shard; taken again only for a
  //! retry for which no other has room.
  std::span<const TargetId> tried;
  AttemptKind kind = AttemptKind::kFirst;
  //! False for a request that may run only once: it never serves as the probe
  //! of a target in doubt, since a lost probe would leave its outcome unknown.
  bool may_probe = true;
};

/*! \brief Why no target was chosen. */
enum class RouteRefusal {
  //! No replica may get new work at all.
  kNoReplica,
  //! Replicas exist, but each is at this entry's limit: ask again after an
  //! attempt has finished.
  kAtLimit,
  //! The budget for hedges or retries is spent, or the replicas have no room
  //! for a hedge.
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
  //! Kind that the attempt was chosen for.
  AttemptKind kind = AttemptKind::kFirst;
  //! With kShed: the target said that it is draining.
  bool draining = false;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_ROUTE_REQUEST_H_
