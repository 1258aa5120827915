// Doubts by key.
#include "jacinthdeck/discovery/restore_doubt.h"

#include <algorithm>
#include <utility>

namespace jacinthdeck {

void RestoreGuard::OnRemoved(const std::string& key,
                             Duration patience,
                             TimePoint now) {
  std::erase_if(m_removed, [&](const auto& removed) {
    return now - removed.second.at > kLongestLoss;
  });
  m_removed[key] = Removal{now, patience};
}

void RestoreGuard::Add(const std::string& key, TimePoint until) {
  m_doubts[key] = Doubt{until, {}};
}

void RestoreGuard::OnRestored(const StorePosition& position, TimePoint now) {
  m_copy = position;
  m_doubts.clear();
  for (const auto& [key, removed] : m_removed) {
    if (now - removed.at <= kLongestLoss) {
      Add(key, now + removed.patience);
    }
  }
}

bool RestoreGuard::PutsOff(const StoreChange& change, TimePoint now) {
  const auto found = m_doubts.find(change.key);
  if (found == m_doubts.end()) {
    return false;
  }
  const bool is_of_copy = change.value && change.position <= m_copy;
  if (!is_of_copy || now >= found->second.until) {
    m_doubts.erase(found);
    return false;
  }
  found->second.entry = change;
  return true;
}

void RestoreGuard::KeepOnly(const std::set<std::string>& named) {
  std::erase_if(m_doubts, [&](const auto& doubt) {
    return !named.contains(doubt.first);
  });
}

std::optional<TimePoint> RestoreGuard::Next() const {
  const auto first = std::ranges::min_element(
      m_doubts, {}, [](const auto& doubt) { return doubt.second.until; });
  return first == m_doubts.end() ? std::nullopt
                                 : std::optional(first->second.until);
}

std::vector<StoreChange> RestoreGuard::TakeDue(TimePoint now) {
  std::vector<StoreChange> due;
  for (auto at = m_doubts.begin(); at != m_doubts.end();) {
    if (at->second.until > now) {
      ++at;
      continue;
    }
    if (at->second.entry) {
      due.push_back(std::move(*at->second.entry));
    }
    at = m_doubts.erase(at);
  }
  return due;
}

}  // namespace jacinthdeck
