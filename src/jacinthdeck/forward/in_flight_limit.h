// How many attempts one host may have at a target at once.
#ifndef JACINTHDECK_FORWARD_IN_FLIGHT_LIMIT_H_
#define JACINTHDECK_FORWARD_IN_FLIGHT_LIMIT_H_

#include <cstdint>

namespace jacinthdeck {

/*! \brief What a host knows of its share of a target. */
struct TargetShare {
  //! Connections that this host may hold to it.
  std::uint32_t connections = 1;
  //! Hosts that callers are sent to; at least 1.
  std::uint32_t hosts = 1;
};

/**
 * \brief Says how many attempts a host may have at a target at once.
 *
 * Hosts do not see one another's attempts, so a target that has lost its peers
 * gets the worst calls of all hosts at once. Bounded by connections alone, the
 * last of them waits for many others, comes after its objective, and the work
 * on it is lost. With this bound a full target holds the work of four turns,
 * about half of an objective that is eight times the work, and what does not
 * fit goes to another target or is refused while its caller can still ask
 * elsewhere.
 * \param share This host's share.
 * \param slots Requests that the target works on at once.
 * \return At least 1; at least 2 where connections allow it, since a host with
 * two calls at a time must not lose a target to the first.
 */
[[nodiscard]] std::uint32_t MaxInFlight(const TargetShare& share,
                                        std::uint32_t slots) noexcept;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_IN_FLIGHT_LIMIT_H_
