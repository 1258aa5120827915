// Keeps a histogram of latency for each label set and renders it.
#include "jacinthdeck/entry/call_metrics.h"

#include <sstream>
#include <utility>

#include "jacinthdeck/entry/metric_label.h"

namespace jacinthdeck {

namespace {

//! The histogram covers 0.25 ms to 16 s, with four buckets to each doubling.
constexpr unsigned kBucketCount = 64;
constexpr double kLowestMs = 0.25;
constexpr double kHighestMs = 16384;

[[nodiscard]] std::string LabelText(const CallLabels& labels) {
  return "tenant=\"" + EscapeLabelValue(labels.tenant.raw()) + "\",service=\"" +
         EscapeLabelValue(labels.service.raw()) + "\",outcome=\"" +
         std::string(kOutcomeNames.Name(labels.outcome)) + "\"";
}

}  // namespace

CallMetrics::Series::Series()
    : histogram(boost::histogram::make_histogram(
          Axis(kBucketCount, kLowestMs, kHighestMs))) {}

void CallMetrics::Add(CallLabels labels, Duration latency) {
  const double milliseconds = ToMilliseconds(latency);
  const std::scoped_lock lock(m_mutex);
  if (m_series.size() >= kMaxSeries && m_series.count(labels) == 0) {
    labels.tenant = TenantId("other");
  }
  Series& series = m_series[std::move(labels)];
  series.accumulator(milliseconds);
  series.histogram(milliseconds);
}

std::string CallMetrics::Render() const {
  namespace acc = boost::accumulators;
  std::ostringstream out;
  out << "# TYPE jacinthdeck_call_ms histogram\n";
  const std::scoped_lock lock(m_mutex);
  for (const auto& [labels, series] : m_series) {
    const std::string text = LabelText(labels);
    double cumulative = series.histogram.at(-1);
    const Axis& axis = series.histogram.axis();
    for (int i = 0; i < axis.size(); ++i) {
      const double in_bucket = series.histogram.at(i);
      cumulative += in_bucket;
      if (in_bucket > 0) {
        out << "jacinthdeck_call_ms_bucket{" << text << ",le=\""
            << axis.bin(i).upper() << "\"} " << cumulative << "\n";
      }
    }
    out << "jacinthdeck_call_ms_bucket{" << text << ",le=\"+Inf\"} "
        << acc::count(series.accumulator) << "\n";
    out << "jacinthdeck_call_ms_sum{" << text << "} "
        << acc::sum(series.accumulator) << "\n";
    out << "jacinthdeck_call_ms_count{" << text << "} "
        << acc::count(series.accumulator) << "\n";
    out << "jacinthdeck_call_max_ms{" << text << "} "
        << acc::max(series.accumulator) << "\n";
  }
  return out.str();
}

}  // namespace jacinthdeck
