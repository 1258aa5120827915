// The leases that this host has given on its share of the limits.
#ifndef JACINTHDECK_TENANCY_SHARE_LEDGER_H_
#define JACINTHDECK_TENANCY_SHARE_LEDGER_H_

#include <array>
#include <cstdint>
#include <optional>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/tenancy/allocator_choice.h"

namespace jacinthdeck {

/*! \brief How long an allocator counts a lease, from when it sent its request.
 */
inline constexpr Duration kLeaseLifetime = std::chrono::milliseconds(400);
/*! \brief How much longer the host that gave the lease counts it. It covers
 * clocks that run at different speeds. */
inline constexpr Duration kLeaseMargin = std::chrono::milliseconds(20);

/**
 * \brief Leases given by this host, one for each partition.
 *
 * The share of a partition is never leased to two hosts at a time, and this
 * host uses it only while it is not leased.
 */
class ShareLedger {
 public:
  /**
   * \brief Creates a ledger for a process that starts now.
   *
   * The previous process of this host may have leased its share just before it
   * ended, to the allocator that this one knows. Until that lease has expired,
   * the share is given to the first lessee only and not used here.
   */
  explicit ShareLedger(TimePoint now);

  /**
   * \brief Leases partitions, from now on.
   * \param wanted Partitions for which the host is the allocator.
   * \return Those that are leased to it; the others are still leased to another
   * host.
   */
  [[nodiscard]] std::uint64_t Lease(const HostId& to,
                                    std::uint64_t wanted,
                                    TimePoint now);

  /*! \brief Returns whether this host may use its share of a partition. */
  [[nodiscard]] bool IsFree(std::size_t partition, TimePoint now) const {
    return m_leases[partition].until <= now;
  }

  /*! \brief Returns when the lease of a partition expires. */
  [[nodiscard]] TimePoint FreeAt(std::size_t partition) const {
    return m_leases[partition].until;
  }

  /*! \brief Ends the wait after the start; this host is the only one. */
  void EndStartWait(TimePoint now);

  /*! \brief Returns the first expiry after a time; empty if there is none. */
  [[nodiscard]] std::optional<TimePoint> NextExpiry(TimePoint after) const;

 private:
  struct Given {
    //! Empty until the process has given its first lease.
    HostId to;
    TimePoint until;
  };

  std::array<Given, kRatePartitions> m_leases;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_SHARE_LEDGER_H_
