// Applies changes and full content, comparing positions key by key.
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

std::optional<std::vector<StoreChange>> StoreContent::ChangesSince(
    const StorePosition& position) const {
  if (!m_removals_complete_from || position < *m_removals_complete_from) {
    return std::nullopt;
  }
  std::vector<StoreChange> changes;
  for (const auto& [key, item] : m_items) {
    if (item.position > position) {
      changes.push_back(item);
    }
  }
  for (const auto& [key, removed] : m_removed) {
    if (removed > position) {
      changes.push_back({key, removed, std::nullopt});
    }
  }
  std::ranges::sort(changes, {}, &StoreChange::position);
  return changes;
}

StorePosition StoreContent::PositionOf(const std::string& key) const {
  const auto found = m_items.find(key);
  return found == m_items.end() ? StorePosition() : found->second.position;
}

std::vector<StoreChange> StoreContent::Apply(
    std::span<const StoreChange> changes) {
  std::vector<StoreChange> applied;
  for (const StoreChange& change : changes) {
    if (!IsNewer(change)) {
      continue;
    }
    applied.push_back(change);
    ++m_change_count;
    if (change.value) {
      m_items[change.key] = change;
      m_removed.erase(change.key);
    } else {
      m_items.erase(change.key);
      RecordRemoval(change.key, change.position);
    }
  }
  return applied;
}

std::vector<StoreChange> StoreContent::Replace(
    std::span<const StoreChange> items,
    const StorePosition& position) {
  if (m_removals_complete_from && position.era > m_era) {
    Clear();
  }
  m_era = std::max(m_era, position.era);
  std::set<std::string> listed;
  for (const StoreChange& item : items) {
    listed.insert(item.key);
  }
  for (auto at = m_items.begin(); at != m_items.end();) {
    const bool is_removed =
        !listed.contains(at->first) && at->second.position <= position;
    if (is_removed) {
      RecordRemoval(at->first, position);
      ++m_change_count;
    }
    at = is_removed ? m_items.erase(at) : std::next(at);
  }
  (void)Apply(items);
  // Keys that were removed between two full reads are recorded as removed at
  // the position of the second, so the removals since the first one's position
  // are still complete.
  m_removals_complete_from = m_removals_complete_from.value_or(position);
  std::vector<StoreChange> valid;
  std::ranges::copy_if(
      items, std::back_inserter(valid),
      [&](const StoreChange& item) { return m_items.contains(item.key); });
  return valid;
}

bool StoreContent::IsNewer(const StoreChange& change) const {
  if (change.position.era < m_era) {
    return false;
  }
  const auto item = m_items.find(change.key);
  if (item != m_items.end()) {
    return change.position > item->second.position;
  }
  const auto removed = m_removed.find(change.key);
  if (removed != m_removed.end()) {
    return change.position > removed->second;
  }
  return change.value.has_value();
}

void StoreContent::Clear() {
  ++m_change_count;
  m_items.clear();
  m_removed.clear();
  m_removals_complete_from.reset();
}

void StoreContent::RecordRemoval(const std::string& key,
                                 const StorePosition& position) {
  m_removed[key] = position;
  if (m_removed.size() <= kMaxRemovals) {
    return;
  }
  const auto oldest = std::ranges::min_element(
      m_removed, {}, [](const auto& removal) { return removal.second; });
  if (m_removals_complete_from) {
    m_removals_complete_from =
        std::max(*m_removals_complete_from, oldest->second);
  }
  m_removed.erase(oldest);
}

}  // namespace jacinthdeck
