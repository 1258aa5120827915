// Two ordered sets: reservations that are due, and later ones.
#include "jacinthdeck/tenancy/token_reservations.h"

namespace jacinthdeck {

void TokenReservations::Advance(TimePoint now) {
  while (!m_later.empty() && m_later.begin()->first <= now) {
    m_held.insert(m_later.extract(m_later.begin()));
  }
  while (!m_held.empty() && m_held.begin()->first + m_claim_time < now) {
    m_due.erase(m_held.begin()->second);
    m_held.erase(m_held.begin());
  }
}

std::optional<TimePoint> TokenReservations::DueOf(std::uint64_t hash) const {
  const auto found = m_due.find(hash);
  return found == m_due.end() ? std::nullopt : std::optional(found->second);
}

bool TokenReservations::Reserve(std::uint64_t hash, TimePoint due) {
  Erase(hash);
  if (m_due.size() >= kMost) {
    return false;
  }
  m_due.emplace(hash, due);
  m_later.emplace(due, hash);
  return true;
}

void TokenReservations::Erase(std::uint64_t hash) {
  const auto found = m_due.find(hash);
  if (found != m_due.end()) {
    m_later.erase({found->second, hash});
    m_held.erase({found->second, hash});
    m_due.erase(found);
  }
}

void TokenReservations::Clear() {
  m_due.clear();
  m_later.clear();
  m_held.clear();
}

std::optional<TimePoint> TokenReservations::NextDue() const {
  return m_later.empty() ? std::nullopt : std::optional(m_later.begin()->first);
}

std::optional<TimePoint> TokenReservations::LastDue() const {
  if (!m_later.empty()) {
    return m_later.rbegin()->first;
  }
  return m_held.empty() ? std::nullopt : std::optional(m_held.rbegin()->first);
}

}  // namespace jacinthdeck
