// Which hosts send to a cold target, and how often.
#ifndef JACINTHDECK_FORWARD_COLD_SHARE_H_
#define JACINTHDECK_FORWARD_COLD_SHARE_H_

#include <cstdint>
#include <span>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/**
 * \brief This host's share of the requests that a cold target bears.
 *
 * The bound holds for the sum over all hosts, which do not ask one another. A
 * few hosts are appointed to each target by rendezvous hashing over the hosts
 * that take callers, so few that each may send several requests a second. An
 * equal share for every host would be a fraction of a request a second, and the
 * requests of hundreds of hosts would now and then come together.
 *
 * Hosts that know different lists appoint almost the same hosts: one that joins
 * or leaves changes the share of itself and of one other for each target.
 */
class ColdShare {
 public:
  /*! \brief Least requests a second of an appointed host, if the bound allows
   * as many. */
  static constexpr double kLeastRate = 2;

  /**
   * \brief Takes the hosts that callers are sent to.
   * \param self This host; without a share if it is not among them.
   */
  void SetHosts(const HostId& self, std::span<const HostId> hosts);

  /**
   * \brief Tells how often this host may send to a target while it is cold.
   * \param bound Requests a second from all hosts; above 0.
   * \return Requests a second; 0 if others are appointed.
   */
  [[nodiscard]] double RateOf(const TargetId& target, double bound) const;

  /**
   * \brief Tells whether this host may send now.
   * \param last When it sent to the target last.
   */
  [[nodiscard]] bool MaySend(const TargetId& target,
                             double bound,
                             TimePoint last,
                             TimePoint now) const;

 private:
  //! Number of hosts that share the bound; whole, 1 at least.
  [[nodiscard]] double Appointed(double bound) const noexcept;
  [[nodiscard]] double RateIfAppointed(double bound) const noexcept;
  [[nodiscard]] bool IsAppointed(const TargetId& target, double bound) const;

  std::uint64_t m_self = 0;
  bool m_has_share = false;
  //! Hashes of the other hosts' names.
  std::vector<std::uint64_t> m_others;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_COLD_SHARE_H_
