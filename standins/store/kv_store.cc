// Transactions, leases, watches and snapshots in memory.
#include "store/kv_store.h"

#include <algorithm>
#include <chrono>

namespace jacinthdeck::standins {

namespace {

//! Maximum number of keys on one page of a range read.
constexpr std::size_t kPageSize = 500;
//! Maximum number of bytes of the values on a page that holds several keys.
constexpr std::size_t kMaxPageValueBytes = 1'000'000;
//! Maximum number of changes kept for watches; older ones are compacted.
constexpr std::size_t kMaxHistory = 20000;

}  // namespace

std::optional<KeyValue> KvStore::Get(const std::string& key) {
  const std::scoped_lock lock(m_mutex);
  ExpireLeases();
  const auto found = m_entries.find(key);
  return found == m_entries.end() ? std::nullopt : std::optional(found->second);
}

std::uint64_t KvStore::revision() {
  const std::scoped_lock lock(m_mutex);
  ExpireLeases();
  return m_revision;
}

KeyPage KvStore::Range(const std::string& prefix, const std::string& after) {
  const std::scoped_lock lock(m_mutex);
  ExpireLeases();
  KeyPage page;
  page.revision = m_revision;
  auto at = after.empty() ? m_entries.lower_bound(prefix)
                          : m_entries.upper_bound(after);
  std::size_t bytes = 0;
  for (; at != m_entries.end() && at->first.starts_with(prefix); ++at) {
    const std::size_t size = at->second.value->size();
    const bool is_full =
        page.items.size() == kPageSize ||
        (!page.items.empty() && bytes + size > kMaxPageValueBytes);
    if (is_full) {
      page.has_more = true;
      break;
    }
    bytes += size;
    page.items.push_back(at->second);
  }
  return page;
}

TransactionOutcome KvStore::Apply(const Transaction& transaction,
                                  std::uint64_t& revision) {
  const std::scoped_lock lock(m_mutex);
  ExpireLeases();
  const bool leases_live =
      std::ranges::all_of(transaction.puts, [&](const PutItem& put) {
        return put.lease == 0 || m_leases.contains(put.lease);
      });
  if (!leases_live) {
    return TransactionOutcome::kNoLease;
  }
  if (!ConditionsHold(transaction)) {
    return TransactionOutcome::kConflict;
  }
  ++m_revision;
  for (const PutItem& put : transaction.puts) {
    const auto known = m_entries.find(put.key);
    const std::uint64_t created_revision =
        known == m_entries.end() ? m_revision : known->second.created_revision;
    const KeyValue item{put.key, put.value, m_revision, created_revision,
                        put.lease};
    m_entries[put.key] = item;
    Record(item);
  }
  for (const std::string& key : transaction.removes) {
    if (m_entries.erase(key) > 0) {
      Record({key, std::nullopt, m_revision, 0, 0});
    }
  }
  revision = m_revision;
  return TransactionOutcome::kApplied;
}

std::uint64_t KvStore::Grant(Duration ttl) {
  const std::scoped_lock lock(m_mutex);
  m_leases[++m_last_lease_id] = Lease{ttl, m_clock.Now() + ttl};
  return m_last_lease_id;
}

std::optional<Duration> KvStore::Renew(std::uint64_t lease) {
  const std::scoped_lock lock(m_mutex);
  ExpireLeases();
  const auto found = m_leases.find(lease);
  if (found == m_leases.end()) {
    return std::nullopt;
  }
  found->second.expires = m_clock.Now() + found->second.ttl;
  return found->second.ttl;
}

bool KvStore::RenewLeaseIfUnchanged(const std::string& key,
                                    const std::string& value) {
  const auto held = Get(key);
  return held && held->value == value && held->lease != 0 &&
         Renew(held->lease).has_value();
}

bool KvStore::Revoke(std::uint64_t lease) {
  const std::scoped_lock lock(m_mutex);
  ExpireLeases();
  if (m_leases.erase(lease) == 0) {
    return false;
  }
  RemoveKeysWithoutLease();
  return true;
}

WatchResult KvStore::Watch(const std::string& prefix,
                           std::uint64_t after,
                           Duration wait) {
  const auto end = std::chrono::steady_clock::now() + wait;
  std::unique_lock lock(m_mutex);
  const std::uint64_t interrupt_count = m_interrupt_count;
  WatchResult result;
  while (true) {
    ExpireLeases();
    result.revision = m_revision;
    result.compacted = after < m_compacted_revision || after > m_revision;
    for (const KeyValue& change : m_history) {
      if (change.revision > after && change.key.starts_with(prefix)) {
        result.events.push_back(change);
      }
    }
    const auto now = std::chrono::steady_clock::now();
    if (result.compacted || !result.events.empty() || now >= end ||
        interrupt_count != m_interrupt_count) {
      return result;
    }
    m_changed.wait_until(lock, std::min(end, now + TimeToNextExpiry()));
  }
}

void KvStore::TakeSnapshot() {
  const std::scoped_lock lock(m_mutex);
  ExpireLeases();
  m_snapshot = Snapshot{m_entries, m_leases, m_revision, m_last_lease_id};
}

bool KvStore::Restore() {
  const std::scoped_lock lock(m_mutex);
  if (!m_snapshot) {
    return false;
  }
  m_entries = m_snapshot->entries;
  m_leases = m_snapshot->leases;
  for (auto& [id, lease] : m_leases) {
    lease.expires = m_clock.Now() + lease.ttl;
  }
  m_revision = m_snapshot->revision;
  m_last_lease_id = m_snapshot->last_lease_id;
  m_compacted_revision = std::min(m_compacted_revision, m_revision);
  std::erase_if(m_history, [&](const KeyValue& change) {
    return change.revision > m_revision;
  });
  ++m_era;
  ++m_interrupt_count;
  m_changed.notify_all();
  return true;
}

std::uint64_t KvStore::era() {
  const std::scoped_lock lock(m_mutex);
  return m_era;
}

void KvStore::Compact() {
  const std::scoped_lock lock(m_mutex);
  m_history.clear();
  m_compacted_revision = m_revision;
  ++m_interrupt_count;
  m_changed.notify_all();
}

void KvStore::InterruptWatches() {
  const std::scoped_lock lock(m_mutex);
  ++m_interrupt_count;
  m_changed.notify_all();
}

void KvStore::ExpireLeases() {
  const TimePoint now = m_clock.Now();
  const auto expired = [&](const auto& item) {
    return item.second.expires <= now;
  };
  if (std::erase_if(m_leases, expired) > 0) {
    RemoveKeysWithoutLease();
  }
}

void KvStore::RemoveKeysWithoutLease() {
  for (auto at = m_entries.begin(); at != m_entries.end();) {
    const std::uint64_t lease = at->second.lease;
    if (lease == 0 || m_leases.contains(lease)) {
      ++at;
      continue;
    }
    Record({at->first, std::nullopt, ++m_revision, 0, 0});
    at = m_entries.erase(at);
  }
}

void KvStore::Record(const KeyValue& change) {
  m_history.push_back(change);
  if (m_history.size() > kMaxHistory) {
    m_compacted_revision = m_history.front().revision;
    m_history.pop_front();
  }
  m_changed.notify_all();
}

bool KvStore::ConditionsHold(const Transaction& transaction) const {
  return std::ranges::all_of(
      transaction.conditions, [&](const Condition& condition) {
        const auto found = m_entries.find(condition.key);
        const std::uint64_t revision =
            found == m_entries.end() ? 0 : found->second.revision;
        return revision == condition.revision;
      });
}

Duration KvStore::TimeToNextExpiry() const {
  constexpr Duration kShortestWait = std::chrono::milliseconds(1);
  Duration wait = std::chrono::minutes(1);
  const TimePoint now = m_clock.Now();
  for (const auto& [id, lease] : m_leases) {
    wait = std::min(wait, lease.expires - now);
  }
  return std::max(wait, kShortestWait);
}

}  // namespace jacinthdeck::standins
