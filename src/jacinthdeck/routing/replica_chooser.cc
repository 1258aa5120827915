// The strategies; ties are broken evenly, so that entries do not all favour the
// first replica of the map.
#include "jacinthdeck/routing/replica_chooser.h"

#include <algorithm>

namespace jacinthdeck {

namespace internal {

//! Latency ratios between 1/kNoise and kNoise are taken as equal.
constexpr double kNoise = 1.5;
constexpr double kMostRelativeLatency = 8;
constexpr double kTroubleWeight = 4;
constexpr double kSharedDomainFactor = 1.25;
//! Rates below this are left to the ejection, which needs samples to decide.
constexpr double kUsualTrouble = 0.5;

template <typename Score>
[[nodiscard]] std::size_t PickLowest(std::span<const ReplicaView> replicas,
                                     Random& random,
                                     Score score) {
  std::size_t best = 0;
  double lowest = score(replicas.front());
  std::uint64_t ties = 1;
  for (std::size_t i = 1; i < replicas.size(); ++i) {
    const double candidate = score(replicas[i]);
    if (candidate < lowest) {
      best = i;
      lowest = candidate;
      ties = 1;
    } else if (candidate == lowest && random.Below(++ties) == 0) {
      best = i;
    }
  }
  return best;
}

[[nodiscard]] double LatencyFactor(double relative) noexcept {
  if (relative <= kNoise) {
    return 1;
  }
  return std::min(relative, kMostRelativeLatency);
}

[[nodiscard]] double ExpectedWait(const ReplicaView& replica) noexcept {
  const double queue = 1 + replica.in_flight + replica.load_hint;
  const double trouble = std::max(0.0, replica.trouble_rate - kUsualTrouble);
  const double domain = replica.shares_domain ? kSharedDomainFactor : 1;
  return queue * LatencyFactor(replica.relative_latency) *
         (1 + kTroubleWeight * trouble) * domain;
}

}  // namespace internal

std::size_t RandomChooser::Pick(std::span<const ReplicaView> replicas,
                                Random& random) const {
  return random.Below(replicas.size());
}

std::size_t LeastInFlightChooser::Pick(std::span<const ReplicaView> replicas,
                                       Random& random) const {
  return internal::PickLowest(replicas, random,
                              [](const ReplicaView& r) { return r.in_flight; });
}

std::size_t ScoreChooser::Pick(std::span<const ReplicaView> replicas,
                               Random& random) const {
  return internal::PickLowest(replicas, random, internal::ExpectedWait);
}

}  // namespace jacinthdeck
