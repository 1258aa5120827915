// Computes the delay before a hedge under each policy.
#include "jacinthdeck/routing/hedge_policy.h"

#include <algorithm>

namespace jacinthdeck {

namespace internal {

constexpr double kHighQuantile = 0.965;
constexpr double kBaseQuantile = 0.75;
//! Cap of the delay as a multiple of the base quantile; above the ratio of the
//! two quantiles in an exponential distribution (2.5).
constexpr int kMaxBaseMultiple = 3;
constexpr std::uint64_t kMinHedgeSamples = 50;
constexpr Duration kDefaultDelay = std::chrono::milliseconds(50);
constexpr Duration kMinDelay = std::chrono::milliseconds(1);

}  // namespace internal

Duration NoHedging::Delay(const LatencyHistogram& /*latencies*/) const {
  return kNoHedge;
}

Duration FixedHedging::Delay(const LatencyHistogram& /*latencies*/) const {
  return m_delay;
}

Duration QuantileHedging::Delay(const LatencyHistogram& latencies) const {
  if (latencies.samples() < internal::kMinHedgeSamples) {
    return internal::kDefaultDelay;
  }
  const Duration high = latencies.Quantile(internal::kHighQuantile);
  const Duration base = latencies.Quantile(internal::kBaseQuantile);
  return std::max(internal::kMinDelay,
                  std::min(high, base * internal::kMaxBaseMultiple));
}

}  // namespace jacinthdeck
