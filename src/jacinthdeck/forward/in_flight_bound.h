// Limits the attempts that one host may have in flight at a target.
#ifndef JACINTHDECK_FORWARD_IN_FLIGHT_BOUND_H_
#define JACINTHDECK_FORWARD_IN_FLIGHT_BOUND_H_

#include <cstdint>

namespace jacinthdeck {

/*! \brief This host's share of a target. */
struct TargetShare {
  //! Connections to the target that this host may hold.
  std::uint32_t connections = 1;
  //! Number of hosts that callers are sent to; at least 1.
  std::uint32_t hosts = 1;
};

/**
 * \brief Returns how many attempts a host may have in flight at a target.
 *
 * Hosts do not see the attempts of one another, so the last available target of
 * a service gets the load of all hosts at the same time. Limited by connections
 * alone, the last of these requests waits for many others and is answered after
 * its objective, and the work on it is wasted. With this limit, a full target
 * holds four requests per slot, about half of an objective that is eight times
 * the service time. Requests beyond the limit go to another target, or are
 * refused while their callers can still ask elsewhere.
 * \param share This host's share of the target.
 * \param slots Requests that the target executes at the same time.
 * \return At least 1. At least 2 where the connections allow it, because a host
 * with two concurrent calls must not lose a target to the first one.
 */
[[nodiscard]] std::uint32_t MaxInFlight(const TargetShare& share,
                                        std::uint32_t slots) noexcept;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_IN_FLIGHT_BOUND_H_
