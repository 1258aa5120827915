// Compare-and-swap, leases and watches in memory.
#include "store/kv_store.h"

#include <algorithm>
#include <chrono>

namespace jacinthdeck::standins {

std::optional<KeyValue> KvStore::Get(const std::string& key) {
  const std::scoped_lock lock(m_mutex);
  DropLapsed();
  const Entry* entry = Find(key);
  if (entry == nullptr) {
    return std::nullopt;
  }
  return KeyValue{key, entry->value, entry->revision};
}

std::vector<KeyValue> KvStore::List(const std::string& prefix) {
  const std::scoped_lock lock(m_mutex);
  DropLapsed();
  std::vector<KeyValue> found;
  for (auto it = m_entries.lower_bound(prefix);
       it != m_entries.end() && it->first.starts_with(prefix); ++it) {
    found.push_back({it->first, it->second.value, it->second.revision});
  }
  return found;
}

std::size_t KvStore::waiting() const {
  const std::scoped_lock lock(m_mutex);
  return m_waiting;
}

SwapResult KvStore::Put(const std::string& key,
                        const std::string& value,
                        std::optional<std::uint64_t> previous,
                        std::optional<std::uint64_t> lease) {
  const std::scoped_lock lock(m_mutex);
  DropLapsed();
  const Entry* entry = Find(key);
  if (lease && !m_leases.contains(*lease)) {
    return {false, entry == nullptr ? 0 : entry->revision, false};
  }
  if (!Matches(entry, previous)) {
    return {false, entry == nullptr ? 0 : entry->revision};
  }
  m_entries[key] = Entry{value, ++m_revision, lease.value_or(0)};
  Changed();
  return {true, m_revision};
}

SwapResult KvStore::Delete(const std::string& key,
                           std::optional<std::uint64_t> previous) {
  const std::scoped_lock lock(m_mutex);
  DropLapsed();
  const Entry* entry = Find(key);
  if (entry == nullptr || !Matches(entry, previous)) {
    return {false, entry == nullptr ? 0 : entry->revision};
  }
  m_entries.erase(key);
  ++m_revision;
  Changed();
  return {true, 0};
}

std::uint64_t KvStore::Grant(Duration ttl) {
  const std::scoped_lock lock(m_mutex);
  m_leases[++m_last_lease] = Lease{ttl, m_clock.Now() + ttl};
  return m_last_lease;
}

bool KvStore::Renew(std::uint64_t lease) {
  const std::scoped_lock lock(m_mutex);
  DropLapsed();
  const auto found = m_leases.find(lease);
  if (found == m_leases.end()) {
    return false;
  }
  found->second.expires = m_clock.Now() + found->second.ttl;
  return true;
}

WatchEnd KvStore::Watch(const std::string& key,
                        std::uint64_t after,
                        Duration timeout,
                        KeyValue& changed) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  std::unique_lock lock(m_mutex);
  const std::uint64_t interrupts = m_interrupts;
  while (true) {
    DropLapsed();
    const Entry* entry = Find(key);
    if (entry != nullptr && entry->revision > after) {
      changed = KeyValue{key, entry->value, entry->revision};
      return WatchEnd::kChanged;
    }
    if (entry == nullptr && after != 0) {
      return WatchEnd::kAbsent;
    }
    if (interrupts != m_interrupts) {
      return WatchEnd::kInterrupted;
    }
    const auto now = std::chrono::steady_clock::now();
    if (now >= end) {
      return WatchEnd::kTimeout;
    }
    ++m_waiting;
    m_changed.wait_until(lock, std::min(end, now + UntilNextLapse()));
    --m_waiting;
  }
}

void KvStore::InterruptWatches() {
  const std::scoped_lock lock(m_mutex);
  ++m_interrupts;
  m_changed.notify_all();
}

void KvStore::DropLapsed() {
  const TimePoint now = m_clock.Now();
  const auto lapsed = [&](const auto& item) {
    return item.second.expires <= now;
  };
  if (std::erase_if(m_leases, lapsed) == 0) {
    return;
  }
  const auto orphaned = [&](const auto& item) {
    return item.second.lease != 0 && !m_leases.contains(item.second.lease);
  };
  if (std::erase_if(m_entries, orphaned) > 0) {
    ++m_revision;
    Changed();
  }
}

void KvStore::Changed() {
  m_changed.notify_all();
}

bool KvStore::Matches(const Entry* entry,
                      std::optional<std::uint64_t> previous) {
  const std::uint64_t revision = entry == nullptr ? 0 : entry->revision;
  return !previous || *previous == revision;
}

KvStore::Entry* KvStore::Find(const std::string& key) {
  const auto found = m_entries.find(key);
  return found == m_entries.end() ? nullptr : &found->second;
}

Duration KvStore::UntilNextLapse() const {
  constexpr Duration kShortestWait = std::chrono::milliseconds(1);
  Duration wait = std::chrono::minutes(1);
  const TimePoint now = m_clock.Now();
  for (const auto& [id, lease] : m_leases) {
    wait = std::min(wait, lease.expires - now);
  }
  return std::max(wait, kShortestWait);
}

}  // namespace jacinthdeck::standins
