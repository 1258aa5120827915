// Requests of the query engine to the router, and results it reports back.
#ifndef JACINTHDECK_ROUTING_ROUTE_REQUEST_H_
#define JACINTHDECK_ROUTING_ROUTE_REQUEST_H_

#include <optional>
#include <span>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/routing/attempt.h"

namespace jacinthdeck {

/*! \brief Request of the query engine for a target for one attempt. */
struct RouteRequest {
  ServiceId service;
  //! Targets that hold the shard in the version pinned by the call.
  std::span<const TargetId> replicas;
  //! Targets that the call already tried for the shard, in order. They are
  //! chosen again only for a retry or a failover, and only if no other replica
  //! has room.
  std::span<const TargetId> tried;
  AttemptKind kind = AttemptKind::kFirst;
  //! False for a request that may be executed only once. It is never used to
  //! probe an ejected target, since a lost probe would leave its outcome
  //! unknown.
  bool may_probe = true;
};

/*! \brief Reason why no target was chosen. */
enum class RouteRefusal {
  //! No replica may get new work.
  kNoReplica,
  //! Every eligible replica is at this host's limit; ask again after an attempt
  //! has finished.
  kAtLimit,
  //! The hedge or retry budget is spent, or no replica has room for a hedge.
  kNoBudget,
};

//! Names of the refusals in logs and metrics.
inline constexpr NameTable<RouteRefusal, 3> kRouteRefusalNames{
    {"no_replica", "at_limit", "no_budget"}};

/*! \brief Result of an attempt, as reported to the router. */
struct AttemptResult {
  TargetId target;
  AttemptStatus status = AttemptStatus::kAnswered;
  //! Time from sending the request to the end of the attempt.
  Duration latency{};
  //! Load that the target reported with its reply, 0 to 1; it may be wrong.
  std::optional<double> reported_load;
  //! Kind of the attempt, as passed to Choose().
  AttemptKind kind = AttemptKind::kFirst;
  //! With kShed: whether the target reported that it is draining.
  bool draining = false;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_ROUTE_REQUEST_H_
