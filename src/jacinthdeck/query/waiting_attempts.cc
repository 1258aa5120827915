// Indexes the waiting attempts by target, so that the next attempt for a target
// with free capacity is found by a look-up instead of a scan.
#include "jacinthdeck/query/waiting_attempts.h"

#include <utility>

namespace jacinthdeck {

std::size_t WaitingAttempts::CountOf(const ServiceId& service) const {
  const auto found = m_by_service.find(service);
  return found == m_by_service.end() ? 0 : found->second;
}

std::vector<TargetId> WaitingAttempts::Targets() const {
  std::vector<TargetId> targets;
  targets.reserve(m_by_target.size());
  for (const auto& [target, keys] : m_by_target) {
    targets.push_back(target);
  }
  return targets;
}

std::optional<WaitingKey> WaitingAttempts::First(const TargetId& target) const {
  const auto found = m_by_target.find(target);
  return found == m_by_target.end() ? std::nullopt
                                    : std::optional(*found->second.begin());
}

const WaitingAttempt& WaitingAttempts::Get(const WaitingKey& key) const {
  return m_entries.at(key);
}

std::optional<WaitingKey> WaitingAttempts::Add(WaitingAttempt attempt) {
  if (m_entries.size() >= m_limit) {
    return std::nullopt;
  }
  const WaitingKey key{attempt.deadline, m_arrivals++};
  for (const TargetId& target : attempt.replicas) {
    m_by_target[target].insert(key);
  }
  ++m_by_service[attempt.service];
  m_entries.emplace(key, std::move(attempt));
  return key;
}

void WaitingAttempts::Remove(const WaitingKey& key) {
  const auto found = m_entries.find(key);
  if (found == m_entries.end()) {
    return;
  }
  for (const TargetId& target : found->second.replicas) {
    const auto keys = m_by_target.find(target);
    if (keys == m_by_target.end()) {
      continue;
    }
    keys->second.erase(key);
    if (keys->second.empty()) {
      m_by_target.erase(keys);
    }
  }
  --m_by_service[found->second.service];
  m_entries.erase(found);
}

}  // namespace jacinthdeck
