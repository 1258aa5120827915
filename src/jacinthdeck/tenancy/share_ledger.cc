// One lease for each partition; it moves to another host after its expiry.
#include "jacinthdeck/tenancy/share_ledger.h"

#include <algorithm>

namespace jacinthdeck {

ShareLedger::ShareLedger(TimePoint now) {
  m_leases.fill({HostId(), now + kLeaseLifetime + kLeaseMargin});
}

std::uint64_t ShareLedger::Lease(const HostId& to,
                                 std::uint64_t wanted,
                                 TimePoint now) {
  std::uint64_t leased = 0;
  for (std::size_t partition = 0; partition < kRatePartitions; ++partition) {
    const std::uint64_t bit = std::uint64_t{1} << partition;
    Given& lease = m_leases[partition];
    const bool may_lease =
        lease.until <= now || lease.to == to || lease.to == HostId();
    if ((wanted & bit) != 0 && may_lease) {
      lease = {to, now + kLeaseLifetime + kLeaseMargin};
      leased |= bit;
    }
  }
  return leased;
}

void ShareLedger::EndStartWait(TimePoint now) {
  for (Given& lease : m_leases) {
    if (lease.to == HostId()) {
      lease.until = std::min(lease.until, now);
    }
  }
}

std::optional<TimePoint> ShareLedger::NextExpiry(TimePoint after) const {
  std::optional<TimePoint> next;
  for (const Given& lease : m_leases) {
    if (lease.until > after && (!next || lease.until < *next)) {
      next = lease.until;
    }
  }
  return next;
}

}  // namespace jacinthdeck
