// What a router has done since its start, for the metrics.
#ifndef JACINTHDECK_ROUTING_ROUTER_COUNTERS_H_
#define JACINTHDECK_ROUTING_ROUTER_COUNTERS_H_

#include <cstdint>

namespace jacinthdeck {

/*! \brief Counts of a router; none ever falls. */
struct RouterCounters {
  std::uint64_t first_attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  //! Hedges that answered.
  std::uint64_t hedges_won = 0;
  std::uint64_t refused_no_replica = 0;
  std::uint64_t refused_at_limit = 0;
  std::uint64_t refused_no_budget = 0;
  //! Hedges refused since the replicas had no room.
  std::uint64_t refused_saturated = 0;
  std::uint64_t ejections = 0;
  std::uint64_t probes = 0;
  std::uint64_t sheds = 0;
  //! Answers that said that the target is draining.
  std::uint64_t drains = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_ROUTER_COUNTERS_H_
