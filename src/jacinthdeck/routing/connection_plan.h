// This entry's share of a target's connections, and when to open them.
#ifndef JACINTHDECK_ROUTING_CONNECTION_PLAN_H_
#define JACINTHDECK_ROUTING_CONNECTION_PLAN_H_

#include <cstdint>

#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/routing/target_info.h"

namespace jacinthdeck {

/*! \brief Advice for the transport on one target. */
struct ConnectionPlan {
  //! Most connections to hold, open or opening; idle ones above it are closed
  //! at once.
  std::uint32_t max_connections = 0;
  //! Idle connections to keep beside those in use, within max_connections.
  std::uint32_t idle_spares = 0;
  //! Wait after the start, or after a loss of all connections, before the first
  //! spare is opened; a request that needs a connection does not wait.
  Duration first_open_delay{};
  //! Least time between two openings of spares.
  Duration open_interval{};

  [[nodiscard]] bool operator==(const ConnectionPlan&) const = default;
};

/**
 * \brief This entry's share of a connection limit.
 *
 * One share is left free: a restarted entry's old connections linger at the
 * target until it notices, while the new life opens its own.
 * \param limit Connections that the target accepts from all entries together.
 * \param hosts Highest number of entries seen lately, at least 1.
 * \return Whole connections; at least 1, also where the limit is below the
 * number of entries, see docs/design/limits.md.
 */
[[nodiscard]] std::uint32_t ConnectionShare(std::uint32_t limit,
                                            std::uint32_t hosts) noexcept;

/**
 * \brief Plans the connections to a target.
 * \param target Target.
 * \param share Connections that this entry may hold.
 * \param hosts Entries that open connections, at least 1.
 * \param random Source of the jitter.
 * \return The plan; nothing is opened to a target that is not live.
 */
[[nodiscard]] ConnectionPlan PlanConnections(const TargetInfo& target,
                                             std::uint32_t share,
                                             std::uint32_t hosts,
                                             Random& random);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_CONNECTION_PLAN_H_
