// Running estimate of a latency quantile in constant space.
#ifndef JACINTHDECK_QUERY_LATENCY_QUANTILE_H_
#define JACINTHDECK_QUERY_LATENCY_QUANTILE_H_

#include <algorithm>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Estimates a quantile of latencies by stochastic approximation. */
class LatencyQuantile {
 public:
  /*! \brief Constructs an estimator of a quantile between 0 and 1. */
  explicit LatencyQuantile(double quantile) noexcept : m_quantile(quantile) {}

  /*! \brief Returns the estimate; zero before the first sample. */
  [[nodiscard]] Duration value() const noexcept {
    return Duration(static_cast<Duration::rep>(m_value));
  }

  /*! \brief Updates the estimate with a sample. */
  void Add(Duration latency) noexcept {
    const auto sample = static_cast<double>(latency.count());
    if (m_value <= 0) {
      m_value = sample;
      return;
    }
    // Moves up for a sample above the estimate and down otherwise. The weights
    // make the steps cancel out when the estimate is at the quantile.
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
