// Keeps the delays by key.
#include "jacinthdeck/discovery/restore_doubt.h"

#include <algorithm>
#include <utility>

namespace jacinthdeck {

void RestoreGuard::OnRemoved(const std::string& key,
                             Duration hold_time,
                             TimePoint now) {
  std::erase_if(m_removed, [&](const auto& removed) {
    return now - removed.second.at > kMaxLossWindow;
  });
  m_removed[key] = Removal{now, hold_time};
}

void RestoreGuard::HoldUntil(const std::string& key, TimePoint until) {
  m_delays[key] = Delay{until, {}};
}

void RestoreGuard::OnRestored(const StorePosition& position, TimePoint now) {
  m_restored_position = position;
  m_delays.clear();
  for (const auto& [key, removed] : m_removed) {
    if (now - removed.at <= kMaxLossWindow) {
      HoldUntil(key, now + removed.hold_time);
    }
  }
}

bool RestoreGuard::HoldBack(const StoreChange& change, TimePoint now) {
  const auto found = m_delays.find(change.key);
  if (found == m_delays.end()) {
    return false;
  }
  const bool is_restored =
      change.value && change.position <= m_restored_position;
  if (!is_restored || now >= found->second.until) {
    m_delays.erase(found);
    return false;
  }
  found->second.entry = change;
  return true;
}

void RestoreGuard::KeepOnly(const std::set<std::string>& listed) {
  std::erase_if(m_delays, [&](const auto& delay) {
    return !listed.contains(delay.first);
  });
}

std::optional<TimePoint> RestoreGuard::NextRelease() const {
  const auto first = std::ranges::min_element(
      m_delays, {}, [](const auto& delay) { return delay.second.until; });
  return first == m_delays.end() ? std::nullopt
                                 : std::optional(first->second.until);
}

std::vector<StoreChange> RestoreGuard::TakeReleased(TimePoint now) {
  std::vector<StoreChange> due;
  for (auto at = m_delays.begin(); at != m_delays.end();) {
    if (at->second.until > now) {
      ++at;
      continue;
    }
    if (at->second.entry) {
      due.push_back(std::move(*at->second.entry));
    }
    at = m_delays.erase(at);
  }
  return due;
}

}  // namespace jacinthdeck
