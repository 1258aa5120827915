// Which hosts do what: read the store for the others, and take callers.
#ifndef JACINTHDECK_DISCOVERY_FLEET_H_
#define JACINTHDECK_DISCOVERY_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/discovery/host_record.h"

namespace jacinthdeck {

//! Fleets up to this size use all hosts alike: the loss of a few would leave
//! too few, and what each of them costs the store is little.
inline constexpr std::size_t kSmallFleetSize = 12;

/**
 * \brief Chooses the hosts that watch the store; the others learn from them.
 *
 * Each watch costs calls for every change. A few watchers, spread over the
 * failure domains and on the strongest hosts, cost the same for 8 hosts and for
 * 590. Every host computes the same choice from the same records.
 *
 * \return Names; at least one a failure domain and three in all, where there
 * are so many hosts.
 */
[[nodiscard]] std::vector<NodeId> ChooseWatchers(
    std::span<const HostRecord> hosts);

/**
 * \brief Chooses the hosts that callers are sent to.
 *
 * Targets accept few connections. Spread over all hosts of a large fleet they
 * are less than one a host, and each host knows little of each target. The
 * strongest hosts of each failure domain take the callers, more of them while
 * those are busy; the rest stand by and are next when hosts are lost.
 *
 * \param hosts Live hosts.
 * \param target_connections Fewest connections that a target of any service
 * accepts from all hosts; 0 if unknown.
 * \return Records, strongest first in each domain; all hosts where the fleet
 * is small.
 */
[[nodiscard]] std::vector<HostRecord> ChooseFronts(
    std::span<const HostRecord> hosts,
    std::uint32_t target_connections);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_FLEET_H_
