// Histogram of a service's recent latencies, used to compute the hedge delay.
#ifndef JACINTHDECK_ROUTING_LATENCY_HISTOGRAM_H_
#define JACINTHDECK_ROUTING_LATENCY_HISTOGRAM_H_

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <cstdint>
#include <tuple>
#include <vector>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/**
 * \brief Histogram with logarithmic buckets in which old samples lose weight.
 *
 * All weights are halved after every kDecaySamples samples, so that a change in
 * latency shows within a few thousand requests.
 */
class LatencyHistogram {
 public:
  //! Number of samples between two halvings of the weights.
  static constexpr std::uint32_t kDecaySamples = 2000;

  LatencyHistogram();

  /*! \brief Returns the number of samples added since construction. */
  [[nodiscard]] std::uint64_t samples() const noexcept { return m_samples; }

  /**
   * \brief Computes a quantile.
   * \param quantile Fraction of the samples below the result, 0 to 1.
   * \return The latency, interpolated within a bucket that is 6% wide; zero
   * before the first sample.
   */
  [[nodiscard]] Duration Quantile(double quantile) const;

  /*! \brief Adds a sample. */
  void Add(Duration latency);

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Weights = boost::histogram::dense_storage<double>;

  boost::histogram::histogram<std::tuple<Axis>, Weights> m_weights;
  std::uint64_t m_samples = 0;
  //! Sum of all weights, including underflow and overflow.
  double m_total_weight = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_LATENCY_HISTOGRAM_H_
