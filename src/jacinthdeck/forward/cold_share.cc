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

void ColdShare::SetHosts(const NodeId& self, std::span<const NodeId> hosts) {
  m_self = HashOf(self.raw(), 0);
  m_has_share = false;
  m_others.clear();
  for (const NodeId& host : hosts) {
    if (host == self) {
      m_has_share = true;
    } else {
      m_others.push_back(HashOf(host.raw(), 0));
    }
  }
}

double ColdShare::RateOf(const TargetId& target, double bound) const {
  if (!m_has_share) {
    return 0;
  }
  const double hosts = static_cast<double>(m_others.size() + 1);
  const double appointed =
      std::clamp(std::floor(bound / kLeastRate), 1.0, hosts);
  const std::uint64_t own = HashOf(target.raw(), m_self);
  const auto before = std::ranges::count_if(m_others, [&](std::uint64_t host) {
    return HashOf(target.raw(), host) > own;
  });
  return static_cast<double>(before) < appointed ? bound / appointed : 0;
}

bool ColdShare::MaySend(const TargetId& target,
                        double bound,
                        TimePoint last,
                        TimePoint now) const {
  const double rate = RateOf(target, bound);
  const auto elapsed = std::chrono::duration<double>(now - last).count();
  return rate > 0 && elapsed * rate >= 1;
}

}  // namespace jacinthdeck
