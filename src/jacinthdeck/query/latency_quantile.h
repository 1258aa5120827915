// A running estimate of one quantile of latencies, in constant space.
#ifndef JACINTHDECK_QUERY_LATENCY_QUANTILE_H_
#define JACINTHDECK_QUERY_LATENCY_QUANTILE_H_

#include <algorithm>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Follows a quantile by steps that balance at it. */
class LatencyQuantile {
 public:
  /*! \brief Makes an estimate of a quantile between 0 and 1. */
  explicit LatencyQuantile(double quantile) noexcept : m_quantile(quantile) {}

  /*! \brief Gives the estimate; zero before the first sample. */
  [[nodiscard]] Duration value() const noexcept {
    return Duration(static_cast<Duration::rep>(m_value));
  }

  /*! \brief Counts a latency. */
  void Add(Duration latency) noexcept {
    const auto sample = static_cast<double>(latency.count());
    if (m_value <= 0) {
      m_value = sample;
      return;
    }
    // A step up as often as the quantile is exceeded, down as often as not,
    // weighted so that both cancel out at the quantile.
    const double step = kStep * std::max(m_value, 1.0);
    m_value += sample > m_value ? step * m_quantile : -step * (1 - m_quantile);
  }

 private:
  static constexpr double kStep = 0.05;

  double m_quantile;
  double m_value = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_LATENCY_QUANTILE_H_
