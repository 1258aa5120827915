// Strategies of replica choice. Ties are broken uniformly at random, so that
// hosts do not all prefer the first replica of the partition map.
#include "jacinthdeck/routing/replica_chooser.h"

#include <algorithm>

namespace jacinthdeck {

namespace internal {

//! Relative latencies up to this ratio are noise and count as 1.
constexpr double kLatencyNoiseRatio = 1.5;
constexpr double kMaxRelativeLatency = 8;
constexpr double kBadAttemptWeight = 4;
constexpr double kSharedDomainFactor = 1.25;
//! Rates up to this do not affect the score; outlier ejection handles them once
//! it has enough samples.
constexpr double kToleratedBadAttemptRate = 0.5;

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

[[nodiscard]] double LatencyFactor(double latency_ratio) noexcept {
  if (latency_ratio <= kLatencyNoiseRatio) {
    return 1;
  }
  return std::min(latency_ratio, kMaxRelativeLatency);
}

[[nodiscard]] double ExpectedWait(const ReplicaView& replica) noexcept {
  const double queue = 1 + replica.in_flight + replica.load_hint;
  const double bad_attempts =
      std::max(0.0, replica.bad_attempt_rate - kToleratedBadAttemptRate);
  const double domain = replica.shares_domain ? kSharedDomainFactor : 1;
  return queue * LatencyFactor(replica.relative_latency) *
         (1 + kBadAttemptWeight * bad_attempts) * domain;
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
