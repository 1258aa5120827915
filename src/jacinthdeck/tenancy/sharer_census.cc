// Keeps for each host whether it is listed and when there was a sign of it.
#include "jacinthdeck/tenancy/sharer_census.h"

#include <algorithm>
#include <utility>

namespace jacinthdeck {

SharerCensus::SharerCensus(HostId self) : m_self(std::move(self)) {}

void SharerCensus::SetListed(std::span<const HostId> fronts,
                             std::uint32_t sharers,
                             TimePoint now) {
  m_sharers = std::max(sharers, 1U);
  for (auto& [host, sharer] : m_others) {
    sharer.sign = sharer.is_listed ? now : sharer.sign;
    sharer.is_listed = false;
  }
  for (const HostId& host : fronts) {
    if (host != m_self) {
      m_others[host].is_listed = true;
    }
  }
}

void SharerCensus::OnSign(const HostId& host, TimePoint now) {
  if (host != m_self) {
    m_others[host].sign = now;
  }
}

void SharerCensus::OnRelease(const HostId& host) {
  const auto found = m_others.find(host);
  if (found != m_others.end() && !found->second.is_listed) {
    m_others.erase(found);
  }
}

void SharerCensus::OnAnswer(const HostId& host, TimePoint sent) {
  const auto found = m_others.find(host);
  if (found != m_others.end()) {
    found->second.answered = std::max(found->second.answered, sent);
  }
}

void SharerCensus::Advance(TimePoint now) {
  std::erase_if(m_others, [&](const auto& item) {
    return !item.second.is_listed && item.second.sign + kSharerMemory < now;
  });
}

std::uint32_t SharerCensus::Count() const noexcept {
  return std::max(m_sharers, static_cast<std::uint32_t>(m_others.size()) + 1);
}

bool SharerCensus::InTouch(TimePoint now) const {
  std::size_t listed = 1;
  std::size_t answered = 1;
  for (const auto& [host, sharer] : m_others) {
    listed += sharer.is_listed ? 1 : 0;
    const bool lately = sharer.answered > now - kTouchTime;
    answered += sharer.is_listed && lately ? 1 : 0;
  }
  return answered * 2 > listed;
}

std::vector<HostId> SharerCensus::Others() const {
  std::vector<HostId> others;
  others.reserve(m_others.size());
  for (const auto& [host, sharer] : m_others) {
    others.push_back(host);
  }
  return others;
}

}  // namespace jacinthdeck
