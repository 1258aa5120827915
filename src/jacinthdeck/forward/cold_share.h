// Limits the rate of requests that this host sends to a cold target.
#ifndef JACINTHDECK_FORWARD_COLD_SHARE_H_
#define JACINTHDECK_FORWARD_COLD_SHARE_H_

#include <cstdint>
#include <span>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/**
 * \brief Computes this host's share of the request rate that a cold target can
 * handle.
 *
 * The bound applies to the sum over all hosts, which do not coordinate.
 * Rendezvous hashing over the hosts that serve callers selects a few hosts for
 * each target, so few that each may send several requests a second. With an
 * equal share for every host, each would send a fraction of a request a second,
 * and the requests of hundreds of hosts would occasionally coincide.
 *
 * Hosts that know different host lists select almost the same hosts: one that
 * joins or leaves changes only its own share and that of one other host for
 * each target.
 */
class ColdTargetLimiter {
 public:
  /*! \brief Minimum rate of a selected host in requests a second, if the bound
   * allows it. */
  static constexpr double kMinRate = 2;

  /**
   * \brief Sets the hosts that callers are sent to.
   * \param self This host; it has no share if it is not listed.
   * \param hosts All hosts that callers are sent to.
   */
  void SetHosts(const HostId& self, std::span<const HostId> hosts);

  /**
   * \brief Returns the rate at which this host may send to a target while it is
   * cold.
   * \param bound Requests a second allowed from all hosts together; above 0.
   * \return Requests a second; 0 if only other hosts are selected.
   */
  [[nodiscard]] double RateOf(const TargetId& target, double bound) const;

  /**
   * \brief Returns whether this host may send a request to the target now.
   * \param last When this host last sent to the target.
   */
  [[nodiscard]] bool MaySend(const TargetId& target,
                             double bound,
                             TimePoint last,
                             TimePoint now) const;

 private:
  //! Number of hosts that share the bound; a whole number, at least 1.
  [[nodiscard]] double SelectedHosts(double bound) const noexcept;
  [[nodiscard]] double RateIfSelected(double bound) const noexcept;
  [[nodiscard]] bool IsSelected(const TargetId& target, double bound) const;

  //! Hash of the name of this host.
  std::uint64_t m_self = 0;
  //! Whether this host is one of those that callers are sent to.
  bool m_is_listed = false;
  //! Hashes of the names of the other hosts.
  std::vector<std::uint64_t> m_others;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_COLD_SHARE_H_
