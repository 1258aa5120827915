// The hedge delays.
#include "jacinthdeck/routing/hedge_policy.h"

#include <algorithm>

namespace jacinthdeck {

namespace internal {

constexpr double kHighQuantile = 0.965;
constexpr double kMiddleQuantile = 0.75;
//! Above the ratio of the two quantiles of an exponential distribution (2.5).
constexpr int kMostOverMiddle = 3;
constexpr std::uint64_t kLeastLatencies = 50;
constexpr Duration kUnknownDelay = std::chrono::milliseconds(50);
constexpr Duration kShortestDelay = std::chrono::milliseconds(1);

}  // namespace internal

Duration NoHedging::Delay(const LatencyHistogram& /*latencies*/) const {
  return kNoHedge;
}

Duration FixedHedging::Delay(const LatencyHistogram& /*latencies*/) const {
  return m_delay;
}

Duration LearnedHedging::Delay(const LatencyHistogram& latencies) const {
  if (latencies.samples() < internal::kLeastLatencies) {
    return internal::kUnknownDelay;
  }
  const Duration high = latencies.Quantile(internal::kHighQuantile);
  const Duration middle = latencies.Quantile(internal::kMiddleQuantile);
  return std::max(internal::kShortestDelay,
                  std::min(high, middle * internal::kMostOverMiddle));
}

}  // namespace jacinthdeck
