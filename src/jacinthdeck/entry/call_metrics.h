// Latency and outcomes of calls by tenant and service, exported as metrics.
#ifndef JACINTHDECK_ENTRY_CALL_METRICS_H_
#define JACINTHDECK_ENTRY_CALL_METRICS_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>
#include <compare>
#include <map>
#include <mutex>
#include <string>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/outcome.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Labels of a time series of calls. */
struct CallLabels {
  TenantId tenant;
  ServiceId service;
  Outcome outcome = Outcome::kWhole;

  [[nodiscard]] auto operator<=>(const CallLabels&) const = default;
  [[nodiscard]] bool operator==(const CallLabels&) const = default;
};

/*! \brief Collects latency and outcomes of ended calls. Thread-safe. */
class CallMetrics {
 public:
  //! Maximum number of label sets with a series of their own. Callers choose
  //! the tenant, so without a bound they could use up the memory. Calls with
  //! further label sets are counted under the tenant "other".
  static constexpr std::size_t kMaxSeries = 512;

  /*! \brief Counts an ended call and its latency. */
  void Add(CallLabels labels, Duration latency);

  /*! \brief Renders all series in the Prometheus text format. */
  [[nodiscard]] std::string Render() const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram =
      decltype(boost::histogram::make_histogram(std::declval<Axis>()));
  using Accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::sum,
                                 boost::accumulators::tag::mean,
                                 boost::accumulators::tag::max>>;
  struct Series {
    Series();
    Accumulator accumulator;
    Histogram histogram;
  };

  mutable std::mutex m_mutex;
  std::map<CallLabels, Series> m_series;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_CALL_METRICS_H_
