// Snapshot of a router's state of one target, for the status page.
#ifndef JACINTHDECK_ROUTING_TARGET_SNAPSHOT_H_
#define JACINTHDECK_ROUTING_TARGET_SNAPSHOT_H_

#include <cstdint>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/routing/target_health.h"
#include "jacinthdeck/routing/target_info.h"

namespace jacinthdeck {

/*! \brief State of a target at one time. */
struct TargetSnapshot {
  TargetId id;
  ServiceId service;
  FailureDomain domain;
  TargetState state = TargetState::kLive;
  HealthState health = HealthState::kTrusted;
  //! The target recently reported that it is draining.
  bool draining = false;
  std::uint32_t in_flight = 0;
  //! Requests that this host may have in flight at the target.
  std::uint32_t window = 0;
  //! Connections that this host may hold to the target.
  std::uint32_t connections = 0;
  //! Average latency of recent answers; zero before the first.
  Duration latency{};
  double failure_rate = 0;
  double slow_rate = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_TARGET_SNAPSHOT_H_
