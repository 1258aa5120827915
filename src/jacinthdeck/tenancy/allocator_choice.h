// Ranks the fronts as allocators of each partition of the accounts.
#ifndef JACINTHDECK_TENANCY_ALLOCATOR_CHOICE_H_
#define JACINTHDECK_TENANCY_ALLOCATOR_CHOICE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "jacinthdeck/core/ids.h"

namespace jacinthdeck {

/*! \brief Number of partitions that accounts are hashed to; each is a bit of
 * ShareLease::partitions. */
inline constexpr std::size_t kRatePartitions = 64;

/**
 * \brief Rendezvous hashing of partitions to fronts.
 *
 * A host that joins or leaves moves only the partitions that it gains or loses.
 * Hosts that know different fronts need not agree on the ranking.
 */
class AllocatorChoice {
 public:
  /*! \brief Returns the partition of an account. */
  [[nodiscard]] static std::size_t PartitionOf(const TenantId& tenant);

  /*! \brief Sets the fronts; duplicates are ignored. */
  void SetFronts(std::span<const HostId> fronts);

  /*! \brief Returns the fronts in ascending order. */
  [[nodiscard]] const std::vector<HostId>& fronts() const noexcept {
    return m_fronts;
  }

  /*! \brief Returns the fronts, as positions in fronts(), in the order in which
   * they become allocators of a partition. */
  [[nodiscard]] std::span<const std::uint16_t> Ranked(
      std::size_t partition) const noexcept {
    return m_ranked[partition];
  }

  /*! \brief Returns the position of a host in that order; empty if it is no
   * front. */
  [[nodiscard]] std::optional<std::uint32_t> RankOf(std::size_t partition,
                                                    const HostId& host) const;

 private:
  std::vector<HostId> m_fronts;
  //! Each holds every position of m_fronts once.
  std::array<std::vector<std::uint16_t>, kRatePartitions> m_ranked;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_ALLOCATOR_CHOICE_H_
