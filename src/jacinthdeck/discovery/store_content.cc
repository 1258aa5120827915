// Compares revisions key by key.
#include "jacinthdeck/discovery/store_content.h"

#include <algorithm>
#include <set>

namespace jacinthdeck {

std::vector<StoreChange> StoreContent::Items() const {
  std::vector<StoreChange> items;
  items.reserve(m_items.size());
  for (const auto& [key, item] : m_items) {
    items.push_back(item);
  }
  return items;
}

std::optional<std::vector<StoreChange>> StoreContent::Since(
    std::uint64_t revision) const {
  if (!m_removals_from || revision < *m_removals_from) {
    return std::nullopt;
  }
  std::vector<StoreChange> changes;
  for (const auto& [key, item] : m_items) {
    if (item.revision > revision) {
      changes.push_back(item);
    }
  }
  for (const auto& [key, removed] : m_removed) {
    if (removed > revision) {
      changes.push_back({key, removed, std::nullopt});
    }
  }
  std::ranges::sort(changes, {}, &StoreChange::revision);
  return changes;
}

std::uint64_t StoreContent::RevisionOf(const std::string& key) const {
  const auto found = m_items.find(key);
  return found == m_items.end() ? 0 : found->second.revision;
}

std::vector<StoreChange> StoreContent::Apply(
    std::span<const StoreChange> changes) {
  std::vector<StoreChange> news;
  for (const StoreChange& change : changes) {
    if (!IsNews(change)) {
      continue;
    }
    news.push_back(change);
    ++m_changes;
    if (change.value) {
      m_items[change.key] = change;
      m_removed.erase(change.key);
    } else {
      m_items.erase(change.key);
      Remember(change.key, change.revision);
    }
  }
  return news;
}

std::vector<StoreChange> StoreContent::Replace(
    std::span<const StoreChange> items,
    std::uint64_t revision) {
  std::set<std::string> named;
  for (const StoreChange& item : items) {
    named.insert(item.key);
  }
  for (auto at = m_items.begin(); at != m_items.end();) {
    const bool gone =
        !named.contains(at->first) && at->second.revision <= revision;
    if (gone) {
      Remember(at->first, revision);
      ++m_changes;
    }
    at = gone ? m_items.erase(at) : std::next(at);
  }
  (void)Apply(items);
  // Keys that went between two readings are remembered as removed at the
  // second, so that the first one's revision holds on.
  m_removals_from = m_removals_from.value_or(revision);
  std::vector<StoreChange> valid;
  std::ranges::copy_if(
      items, std::back_inserter(valid),
      [&](const StoreChange& item) { return m_items.contains(item.key); });
  return valid;
}

bool StoreContent::IsNews(const StoreChange& change) const {
  const auto item = m_items.find(change.key);
  if (item != m_items.end()) {
    return change.revision > item->second.revision;
  }
  const auto removed = m_removed.find(change.key);
  if (removed != m_removed.end()) {
    return change.revision > removed->second;
  }
  return change.value.has_value();
}

void StoreContent::Remember(const std::string& key, std::uint64_t revision) {
  m_removed[key] = revision;
  if (m_removed.size() <= kMostRemovals) {
    return;
  }
  const auto oldest = std::ranges::min_element(
      m_removed, {}, [](const auto& removal) { return removal.second; });
  if (m_removals_from) {
    m_removals_from = std::max(*m_removals_from, oldest->second);
  }
  m_removed.erase(oldest);
}

}  // namespace jacinthdeck
