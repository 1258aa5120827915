// Which part of the limits this host may use, by leases given and held.
#ifndef JACINTHDECK_TENANCY_SHARE_EXCHANGE_H_
#define JACINTHDECK_TENANCY_SHARE_EXCHANGE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/tenancy/allocator_choice.h"
#include "jacinthdeck/tenancy/lease_table.h"
#include "jacinthdeck/tenancy/rate_message.h"
#include "jacinthdeck/tenancy/share_history.h"
#include "jacinthdeck/tenancy/share_ledger.h"
#include "jacinthdeck/tenancy/sharer_census.h"

namespace jacinthdeck {

/**
 * \brief Leases of shares between this host and others, for each partition.
 *
 * Joins the leases given (ShareLedger), the leases held (LeaseTable), the
 * number of sharers (SharerCensus) and the choice of allocators.
 */
class ShareExchange {
 public:
  ShareExchange(HostId self, std::uint64_t started_ms, TimePoint now);

  void SetHosts(std::span<const HostId> fronts,
                std::uint32_t sharers,
                bool has_share,
                TimePoint now);

  /*! \brief Records the changes of shares up to now; call it before any other
   * function that takes a time. */
  void Advance(TimePoint now);

  /*! \brief Notes that messages are exchanged from now on: no host counts as
   * silent for what it did not send before. */
  void StartListening(TimePoint now);

  /*! \brief Notes that a message of a host has arrived. */
  void OnHeard(const HostId& host, TimePoint now);

  /*! \brief Notes that a host has not answered several times. */
  void OnSilent(const HostId& host, TimePoint now);

  /*! \brief Answers an allocator. */
  [[nodiscard]] ShareLease Answer(const HostId& from,
                                  const ShareRequest& request,
                                  TimePoint now);

  /*! \brief Processes a lease; false if it was ignored. */
  bool OnLease(const HostId& from, const ShareLease& lease, TimePoint now);

  /*! \brief Returns the hosts to ask for their shares; none unless this host is
   * a front. */
  [[nodiscard]] std::vector<HostId> HostsToAsk() const;

  /*! \brief Creates the next request to a host. */
  [[nodiscard]] ShareRequest RequestTo(const HostId& host, TimePoint now);

  /*! \brief Returns the fronts in the order in which a request of a partition
   * should try them: those in touch by rank, then the silent ones. */
  [[nodiscard]] std::vector<HostId> Order(std::size_t partition,
                                          TimePoint now) const;

  /*! \brief Returns the allocator of a partition; empty without fronts. */
  [[nodiscard]] HostId Allocator(std::size_t partition, TimePoint now) const;

  /*! \brief Returns whether a front has not been heard of lately. */
  [[nodiscard]] bool IsSilent(const HostId& host, TimePoint now) const;

  /*! \brief Returns the shares that this host may use in a partition. */
  [[nodiscard]] const ShareHistory& history(std::size_t partition) const {
    return m_histories[partition];
  }

  /*! \brief Returns when the share of a partition is free for use here. */
  [[nodiscard]] TimePoint FreeAt(std::size_t partition) const {
    return m_ledger.FreeAt(partition);
  }

  /*! \brief Returns this host's position among the allocators of a partition;
   * empty if it holds no share. */
  [[nodiscard]] std::optional<std::uint32_t> ReserveRank(
      std::size_t partition) const {
    return m_share > 0 ? m_ranks[partition] : std::nullopt;
  }

  [[nodiscard]] double share() const noexcept { return m_share; }
  [[nodiscard]] std::uint32_t sharers() const noexcept {
    return m_census.Count();
  }
  [[nodiscard]] bool is_front() const noexcept { return m_is_front; }
  [[nodiscard]] bool is_alone() const noexcept {
    const auto& fronts = m_choice.fronts();
    return fronts.size() == 1 && fronts.front() == m_self;
  }

 private:
  struct Peer {
    TimePoint listed_since;
    TimePoint heard = TimePoint::min();
    TimePoint suspected_until = TimePoint::min();
  };

  void UpdateRanks();
  void UpdatePeers(TimePoint now);
  void UpdateShare(TimePoint now);
  //! Records the shares in use from a time on.
  void Recompute(TimePoint at);

  HostId m_self;
  //! Whether this host is listed and holds a share.
  bool m_is_front = false;
  //! This host's share of each limit; 0 while it may not use one.
  double m_share = 0;
  //! Above all nonces of earlier processes of this host.
  std::uint64_t m_nonce;
  AllocatorChoice m_choice;
  ShareLedger m_ledger;
  LeaseTable m_leases;
  SharerCensus m_census;
  std::array<ShareHistory, kRatePartitions> m_histories;
  std::array<std::optional<std::uint32_t>, kRatePartitions> m_ranks;
  //! The fronts other than this host.
  std::map<HostId, Peer> m_peers;
  //! First expiry that m_histories do not reflect yet.
  std::optional<TimePoint> m_next_change;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_SHARE_EXCHANGE_H_
