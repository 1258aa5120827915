// Recent latencies of a service, from which the hedge delay is learned.
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
 * \brief Histogram with logarithmic buckets whose old samples fade.
 *
 * All weights are halved after each kDecaySamples samples, so that a change of
 * the service shows within a few thousand requests.
 */
class LatencyHistogram {
 public:
  //! Samples between two halvings.
  static constexpr std::uint32_t kDecaySamples = 2000;

  LatencyHistogram();

  /*! \brief Counts the samples since the start. */
  [[nodiscard]] std::uint64_t samples() const noexcept { return m_samples; }

  /**
   * \brief Finds a quantile.
   * \param quantile Share of the samples below, 0 to 1.
   * \return The value, interpolated within a bucket that is 6% wide; zero
   * before the first sample.
   */
  [[nodiscard]] Duration Quantile(double quantile) const;

  /*! \brief Takes a sample. */
  void Add(Duration latency);

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Weights = boost::histogram::dense_storage<double>;

  boost::histogram::histogram<std::tuple<Axis>, Weights> m_weights;
  std::uint64_t m_samples = 0;
  //! Sum of all weights, those outside the axis included.
  double m_total_weight = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_LATENCY_HISTOGRAM_H_
