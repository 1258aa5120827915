// Adds decay and quantiles to a Boost.Histogram.
#include "jacinthdeck/routing/latency_histogram.h"

#include <algorithm>

namespace jacinthdeck {

namespace internal {

constexpr double kLowestMicroseconds = 50;
constexpr double kHighestMicroseconds = 60e6;
constexpr unsigned kBuckets = 240;

}  // namespace internal

LatencyHistogram::LatencyHistogram()
    : m_weights(std::make_tuple(Axis(internal::kBuckets,
                                     internal::kLowestMicroseconds,
                                     internal::kHighestMicroseconds)),
                Weights()) {}

Duration LatencyHistogram::Quantile(double quantile) const {
  if (m_samples == 0) {
    return Duration::zero();
  }
  const Axis& axis = m_weights.axis();
  const double target_weight = quantile * m_total_weight;
  // The underflow bucket has the index -1, the overflow bucket size().
  double weight_below = 0;
  for (int i = -1; i < axis.size(); ++i) {
    const double weight = m_weights.at(i);
    if (weight > 0 && weight_below + weight >= target_weight) {
      const double fraction = (target_weight - weight_below) / weight;
      return Duration(static_cast<Duration::rep>(axis.value(i + fraction)));
    }
    weight_below += weight;
  }
  return Duration(static_cast<Duration::rep>(internal::kHighestMicroseconds));
}

void LatencyHistogram::Add(Duration latency) {
  m_weights(static_cast<double>(std::max<Duration::rep>(latency.count(), 1)));
  ++m_samples;
  m_total_weight += 1;
  if (m_samples % kDecaySamples == 0) {
    m_weights *= 0.5;
    m_total_weight *= 0.5;
  }
}

}  // namespace jacinthdeck
