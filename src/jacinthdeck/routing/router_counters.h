// Counters of a router, exported as metrics.
#ifndef JACINTHDECK_ROUTING_ROUTER_COUNTERS_H_
#define JACINTHDECK_ROUTING_ROUTER_COUNTERS_H_

#include <cstdint>

namespace jacinthdeck {

/*! \brief Monotonically increasing counters since the router's start. */
struct RouterCounters {
  std::uint64_t first_attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  //! Hedges that were answered.
  std::uint64_t hedges_won = 0;
  std::uint64_t refused_no_replica = 0;
  std::uint64_t refused_at_limit = 0;
  std::uint64_t refused_no_budget = 0;
  //! Hedges refused because the replicas had no room.
  std::uint64_t refused_saturated = 0;
  std::uint64_t ejections = 0;
  std::uint64_t probes = 0;
  std::uint64_t sheds = 0;
  //! Replies in which a target reported that it is draining.
  std::uint64_t drains = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_ROUTER_COUNTERS_H_
