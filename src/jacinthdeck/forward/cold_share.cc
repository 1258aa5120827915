// Rendezvous hashing: the hosts with the highest weights for a target are
// appointed.
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

void ColdShare::SetHosts(const HostId& self, std::span<const HostId> hosts) {
  m_self = HashOf(self.raw(), 0);
  m_has_share = false;
  m_others.clear();
  for (const HostId& host : hosts) {
    if (host == self) {
      m_has_share = true;
    } else {
      m_others.push_back(HashOf(host.raw(), 0));
    }
  }
}

double ColdShare::RateOf(const TargetId& target, double bound) const {
  return IsAppointed(target, bound) ? RateIfAppointed(bound) : 0;
}

bool ColdShare::MaySend(const TargetId& target,
                        double bound,
                        TimePoint last,
                        TimePoint now) const {
  const auto elapsed = std::chrono::duration<double>(now - last).count();
  return elapsed * RateIfAppointed(bound) >= 1 && IsAppointed(target, bound);
}

double ColdShare::Appointed(double bound) const noexcept {
  const double hosts = static_cast<double>(m_others.size() + 1);
  return std::clamp(std::floor(bound / kLeastRate), 1.0, hosts);
}

double ColdShare::RateIfAppointed(double bound) const noexcept {
  return bound / Appointed(bound);
}

bool ColdShare::IsAppointed(const TargetId& target, double bound) const {
  if (!m_has_share) {
    return false;
  }
  const std::uint64_t own = HashOf(target.raw(), m_self);
  auto places = static_cast<std::size_t>(Appointed(bound));
  for (const std::uint64_t host : m_others) {
    if (HashOf(target.raw(), host) > own && --places == 0) {
      return false;
    }
  }
  return true;
}

}  // namespace jacinthdeck
