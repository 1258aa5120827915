// The leases that this host holds as an allocator.
#ifndef JACINTHDECK_TENANCY_LEASE_TABLE_H_
#define JACINTHDECK_TENANCY_LEASE_TABLE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/tenancy/allocator_choice.h"
#include "jacinthdeck/tenancy/rate_message.h"

namespace jacinthdeck {

/**
 * \brief Shares that other hosts have leased to this one.
 *
 * A lease counts from when the request for it was sent, which is before its
 * host answered, so it ends here first.
 */
class LeaseTable {
 public:
  /*! \brief Sum of the shares of each partition. */
  using Sums = std::array<double, kRatePartitions>;

  /*! \brief Notes that a request was sent to a host. */
  void OnRequestSent(const HostId& to, std::uint64_t nonce, TimePoint now);

  /**
   * \brief Processes an answer.
   * \return When its request was sent; empty if the answer was ignored: too
   * late, repeated, overtaken by a later one, or not an answer to a request of
   * this process.
   */
  std::optional<TimePoint> OnLease(const HostId& from,
                                   const ShareLease& lease,
                                   TimePoint now);

  /*! \brief Returns whether an answer changed the sums since the last call. */
  [[nodiscard]] bool TakeChanged() noexcept {
    return std::exchange(m_is_changed, false);
  }

  /*! \brief Drops the leases that have expired. */
  void Expire(TimePoint now);

  /*! \brief Returns the sums over the leases that are in force. */
  [[nodiscard]] Sums SumAt(TimePoint now) const;

  /*! \brief Returns the first expiry after a time; empty if there is none. */
  [[nodiscard]] std::optional<TimePoint> NextExpiry(TimePoint after) const;

 private:
  //! Requests to one host that may still be answered.
  static constexpr std::size_t kRequestsKept = 4;

  struct Request {
    std::uint64_t nonce = 0;
    TimePoint sent;
  };

  struct Entry {
    std::array<Request, kRequestsKept> requests{};
    std::size_t next = 0;
    //! Newest request that was answered; answers to older ones are ignored.
    std::uint64_t answered = 0;
    double share = 0;
    std::uint64_t partitions = 0;
    TimePoint until;
  };

  [[nodiscard]] static const Request* Find(const Entry& entry,
                                           std::uint64_t nonce);

  std::map<HostId, Entry> m_entries;
  bool m_is_changed = false;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_LEASE_TABLE_H_
