// Rendezvous hashing: the hosts with the highest weights for a target are
// selected.
#include "jacinthdeck/forward/cold_share.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <string_view>

namespace jacinthdeck {

namespace {

[[nodiscard]] std::uint64_t HashOf(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

}  // namespace

void ColdTargetLimiter::SetHosts(const HostId& self,
                                 std::span<const HostId> hosts) {
  m_self = HashOf(self.raw(), 0);
  m_is_listed = false;
  m_others.clear();
  for (const HostId& host : hosts) {
    if (host == self) {
      m_is_listed = true;
    } else {
      m_others.push_back(HashOf(host.raw(), 0));
    }
  }
}

double ColdTargetLimiter::RateOf(const TargetId& target, double bound) const {
  return IsSelected(target, bound) ? RateIfSelected(bound) : 0;
}

bool ColdTargetLimiter::MaySend(const TargetId& target,
                                double bound,
                                TimePoint last,
                                TimePoint now) const {
  const auto elapsed = std::chrono::duration<double>(now - last).count();
  return elapsed * RateIfSelected(bound) >= 1 && IsSelected(target, bound);
}

double ColdTargetLimiter::SelectedHosts(double bound) const noexcept {
  const double hosts = static_cast<double>(m_others.size() + 1);
  return std::clamp(std::floor(bound / kMinRate), 1.0, hosts);
}

double ColdTargetLimiter::RateIfSelected(double bound) const noexcept {
  return bound / SelectedHosts(bound);
}

bool ColdTargetLimiter::IsSelected(const TargetId& target, double bound) const {
  if (!m_is_listed) {
    return false;
  }
  const std::uint64_t own_weight = HashOf(target.raw(), m_self);
  auto remaining = static_cast<std::size_t>(SelectedHosts(bound));
  for (const std::uint64_t host : m_others) {
    if (HashOf(target.raw(), host) > own_weight && --remaining == 0) {
      return false;
    }
  }
  return true;
}

}  // namespace jacinthdeck
