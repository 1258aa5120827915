// Keeps the last requests to each host and the lease of the newest answer.
#include "jacinthdeck/tenancy/lease_table.h"

#include <algorithm>

#include "jacinthdeck/tenancy/share_ledger.h"

namespace jacinthdeck {

void LeaseTable::OnRequestSent(const HostId& to,
                               std::uint64_t nonce,
                               TimePoint now) {
  Entry& entry = m_entries[to];
  entry.requests[entry.next] = {nonce, now};
  entry.next = (entry.next + 1) % kRequestsKept;
}

std::optional<TimePoint> LeaseTable::OnLease(const HostId& from,
                                             const ShareLease& lease,
                                             TimePoint now) {
  const auto found = m_entries.find(from);
  if (found == m_entries.end()) {
    return std::nullopt;
  }
  Entry& entry = found->second;
  const Request* request = Find(entry, lease.nonce);
  if (request == nullptr || lease.nonce <= entry.answered ||
      request->sent + kLeaseLifetime <= now) {
    return std::nullopt;
  }
  const double share = std::clamp(lease.share, 0.0, 1.0);
  m_is_changed = m_is_changed || entry.until <= now || entry.share != share ||
                 entry.partitions != lease.partitions;
  entry.answered = lease.nonce;
  entry.share = share;
  entry.partitions = lease.partitions;
  entry.until = request->sent + kLeaseLifetime;
  return request->sent;
}

void LeaseTable::Expire(TimePoint now) {
  std::erase_if(m_entries, [&](const auto& item) {
    const Entry& entry = item.second;
    const auto sent = std::ranges::max(entry.requests, {}, &Request::sent).sent;
    return entry.until <= now && sent + kLeaseLifetime <= now;
  });
}

LeaseTable::Sums LeaseTable::SumAt(TimePoint now) const {
  Sums sums{};
  for (const auto& [host, entry] : m_entries) {
    if (entry.until <= now) {
      continue;
    }
    for (std::size_t partition = 0; partition < kRatePartitions; ++partition) {
      if ((entry.partitions >> partition & 1U) != 0) {
        sums[partition] += entry.share;
      }
    }
  }
  return sums;
}

std::optional<TimePoint> LeaseTable::NextExpiry(TimePoint after) const {
  std::optional<TimePoint> next;
  for (const auto& [host, entry] : m_entries) {
    if (entry.until > after && (!next || entry.until < *next)) {
      next = entry.until;
    }
  }
  return next;
}

const LeaseTable::Request* LeaseTable::Find(const Entry& entry,
                                            std::uint64_t nonce) {
  const auto found = std::ranges::find(entry.requests, nonce, &Request::nonce);
  return nonce == 0 || found == entry.requests.end() ? nullptr : &*found;
}

}  // namespace jacinthdeck
