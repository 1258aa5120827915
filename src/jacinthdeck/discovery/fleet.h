// Assignment of roles to hosts: which watch the store and which take callers.
#ifndef JACINTHDECK_DISCOVERY_FLEET_H_
#define JACINTHDECK_DISCOVERY_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/discovery/host_record.h"

namespace jacinthdeck {

//! In fleets up to this size every host has all roles: if only a few had them,
//! the loss of some would leave too few, and so few hosts cost the store
//! little.
inline constexpr std::size_t kSmallFleetSize = 12;

/**
 * \brief Chooses the hosts that watch the store and feed the other hosts.
 *
 * Each watch costs calls to the store for every change. A few watchers, spread
 * over the failure domains and placed on the hosts with the most processor
 * capacity, cost the same for 8 hosts and for 590. Every host computes the same
 * choice from the same records.
 *
 * \return Names; at least one per failure domain and three in all, if there
 * are so many hosts.
 */
[[nodiscard]] std::vector<HostId> ChooseWatchers(
    std::span<const HostRecord> hosts);

/**
 * \brief Chooses the fronts: the hosts that callers are sent to.
 *
 * Targets accept few connections. Divided among all hosts of a large fleet that
 * is less than one connection per host, and each host measures little of each
 * target. The hosts with the most processor capacity in each failure domain are
 * the fronts, and more hosts join them while they are busy. The other hosts are
 * on standby and replace lost fronts.
 *
 * \param hosts Live hosts.
 * \param target_connections Smallest number of connections that a target of
 * any service accepts from all hosts; 0 if unknown.
 * \param target_domains Failure domains that hold targets of the shards. Hosts
 * elsewhere are no fronts while these have enough of them; empty for no
 * preference.
 * \return Records, by descending capacity in each domain; all hosts if the
 * fleet is small.
 */
[[nodiscard]] std::vector<HostRecord> ChooseFronts(
    std::span<const HostRecord> hosts,
    std::uint32_t target_connections,
    const std::set<FailureDomain>& target_domains = {});

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_FLEET_H_
