// This host's share of a target's connections, and when to open them.
#ifndef JACINTHDECK_ROUTING_CONNECTION_PLAN_H_
#define JACINTHDECK_ROUTING_CONNECTION_PLAN_H_

#include <cstdint>

#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/routing/target_info.h"

namespace jacinthdeck {

/*! \brief Limits and timing of the transport's connections to one target. */
struct ConnectionPlan {
  //! Maximum number of connections, open or being opened; idle connections
  //! above it are closed immediately.
  std::uint32_t max_connections = 0;
  //! Idle connections to keep in addition to those in use, within
  //! max_connections.
  std::uint32_t idle_spares = 0;
  //! Delay before the first idle spare is opened after the start or after the
  //! loss of all connections. A request that needs a connection does not wait.
  Duration first_open_delay{};
  //! Minimum time between the openings of two idle spares.
  Duration open_interval{};

  [[nodiscard]] bool operator==(const ConnectionPlan&) const = default;
};

/**
 * \brief Computes this host's share of a target's connection limit.
 *
 * One share is left free for a restarted host: the target still counts the old
 * process's connections until it detects their end, while the new process
 * already opens its own.
 * \param limit Connections that the target accepts from all hosts together.
 * \param hosts Highest recent number of hosts, at least 1.
 * \return Number of connections; at least 1, even if the limit is below the
 * number of hosts, see docs/design/limits.md.
 */
[[nodiscard]] std::uint32_t ConnectionShare(std::uint32_t limit,
                                            std::uint32_t hosts) noexcept;

/**
 * \brief Plans the connections to a target.
 * \param target Target to connect to.
 * \param share Connections that this host may hold.
 * \param hosts Number of hosts that open connections, at least 1.
 * \param random Source of the jitter.
 * \return The plan; it allows no connections to a target that is not live.
 */
[[nodiscard]] ConnectionPlan PlanConnections(const TargetInfo& target,
                                             std::uint32_t share,
                                             std::uint32_t hosts,
                                             Random& random);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_CONNECTION_PLAN_H_
