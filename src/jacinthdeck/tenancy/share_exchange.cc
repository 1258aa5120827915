// Recomputes the shares in use whenever a lease is given, held or expires.
#include "jacinthdeck/tenancy/share_exchange.h"

#include <algorithm>
#include <utility>

namespace jacinthdeck {

namespace {

//! A front asks each other front for its share several times within this time.
constexpr Duration kSilenceTime = std::chrono::milliseconds(400);

//! Bits of a nonce that count the requests of one process.
constexpr unsigned kNonceCounterBits = 20;

}  // namespace

ShareExchange::ShareExchange(HostId self,
                             std::uint64_t started_ms,
                             TimePoint now)
    : m_self(self),
      m_nonce(started_ms << kNonceCounterBits),
      m_ledger(now),
      m_census(std::move(self)) {
  Recompute(now);
}

void ShareExchange::SetHosts(std::span<const HostId> fronts,
                             std::uint32_t sharers,
                             bool has_share,
                             TimePoint now) {
  Advance(now);
  m_choice.SetFronts(fronts);
  m_is_front = has_share;
  m_census.SetListed(m_choice.fronts(), sharers, now);
  UpdateRanks();
  UpdatePeers(now);
  if (is_alone()) {
    m_ledger.EndStartWait(now);
  }
  UpdateShare(now);
  Recompute(now);
}

void ShareExchange::Advance(TimePoint now) {
  while (m_next_change && *m_next_change <= now) {
    Recompute(*m_next_change);
  }
  m_leases.Expire(now);
}

void ShareExchange::StartListening(TimePoint now) {
  for (auto& [host, peer] : m_peers) {
    peer.listed_since = now;
  }
}

void ShareExchange::OnHeard(const HostId& host, TimePoint now) {
  const auto found = m_peers.find(host);
  if (found != m_peers.end()) {
    found->second.heard = now;
    found->second.suspected_until = TimePoint::min();
  }
}

void ShareExchange::OnSilent(const HostId& host, TimePoint now) {
  const auto found = m_peers.find(host);
  if (found != m_peers.end()) {
    found->second.suspected_until = now + kSilenceTime;
  }
}

ShareLease ShareExchange::Answer(const HostId& from,
                                 const ShareRequest& request,
                                 TimePoint now) {
  m_census.OnSign(from, now);
  UpdateShare(now);
  std::uint64_t wanted = 0;
  for (std::size_t partition = 0; partition < kRatePartitions; ++partition) {
    if (m_share > 0 && Allocator(partition, now) == from) {
      wanted |= std::uint64_t{1} << partition;
    }
  }
  bool was_free = false;
  for (std::size_t partition = 0; partition < kRatePartitions; ++partition) {
    was_free = was_free || ((wanted >> partition & 1U) != 0 &&
                            m_ledger.IsFree(partition, now));
  }
  const std::uint64_t leased = m_ledger.Lease(from, wanted, now);
  if (was_free) {
    Recompute(now);
  }
  return {request.nonce, m_share, leased};
}

bool ShareExchange::OnLease(const HostId& from,
                            const ShareLease& lease,
                            TimePoint now) {
  const std::optional<TimePoint> sent = m_leases.OnLease(from, lease, now);
  if (!sent) {
    return false;
  }
  if (lease.share > 0) {
    m_census.OnSign(from, now);
  } else {
    m_census.OnRelease(from);
  }
  m_census.OnAnswer(from, *sent);
  UpdateShare(now);
  if (m_leases.TakeChanged()) {
    Recompute(now);
  }
  return true;
}

std::vector<HostId> ShareExchange::HostsToAsk() const {
  return m_is_front ? m_census.Others() : std::vector<HostId>();
}

ShareRequest ShareExchange::RequestTo(const HostId& host, TimePoint now) {
  UpdateShare(now);
  ++m_nonce;
  m_leases.OnRequestSent(host, m_nonce, now);
  return {m_nonce};
}

std::vector<HostId> ShareExchange::Order(std::size_t partition,
                                         TimePoint now) const {
  std::vector<HostId> order;
  for (const std::uint16_t front : m_choice.Ranked(partition)) {
    order.push_back(m_choice.fronts()[front]);
  }
  std::stable_partition(order.begin(), order.end(), [&](const HostId& host) {
    return !IsSilent(host, now);
  });
  return order;
}

HostId ShareExchange::Allocator(std::size_t partition, TimePoint now) const {
  const auto ranked = m_choice.Ranked(partition);
  for (const std::uint16_t front : ranked) {
    const HostId& host = m_choice.fronts()[front];
    if (!IsSilent(host, now)) {
      return host;
    }
  }
  return ranked.empty() ? HostId() : m_choice.fronts()[ranked.front()];
}

bool ShareExchange::IsSilent(const HostId& host, TimePoint now) const {
  const auto found = m_peers.find(host);
  if (found == m_peers.end()) {
    return false;
  }
  const Peer& peer = found->second;
  const TimePoint last = std::max(peer.heard, peer.listed_since);
  return peer.suspected_until > now ||
         (m_is_front && last + kSilenceTime < now);
}

void ShareExchange::UpdateRanks() {
  for (std::size_t partition = 0; partition < kRatePartitions; ++partition) {
    m_ranks[partition] = m_choice.RankOf(partition, m_self);
  }
}

void ShareExchange::UpdatePeers(TimePoint now) {
  std::map<HostId, Peer> peers;
  for (const HostId& host : m_choice.fronts()) {
    if (host != m_self) {
      const auto known = m_peers.find(host);
      peers.emplace(host,
                    known == m_peers.end() ? Peer{now, {}, {}} : known->second);
    }
  }
  m_peers = std::move(peers);
}

void ShareExchange::UpdateShare(TimePoint now) {
  m_census.Advance(now);
  const bool may_use = m_is_front && m_census.InTouch(now);
  const double share = may_use ? 1.0 / m_census.Count() : 0;
  if (share != m_share) {
    m_share = share;
    Recompute(now);
  }
}

void ShareExchange::Recompute(TimePoint at) {
  const LeaseTable::Sums sums = m_leases.SumAt(at);
  for (std::size_t partition = 0; partition < kRatePartitions; ++partition) {
    const double own = m_ledger.IsFree(partition, at) ? m_share : 0;
    m_histories[partition].Set(std::min(sums[partition] + own, 1.0), at);
  }
  m_next_change = m_ledger.NextExpiry(at);
  const std::optional<TimePoint> lease = m_leases.NextExpiry(at);
  if (lease && (!m_next_change || *lease < *m_next_change)) {
    m_next_change = lease;
  }
}

}  // namespace jacinthdeck
