// Computes the totals and percentiles of a run and prints them.
#include "loadgen/load_report.h"

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <iomanip>
#include <sstream>

namespace jacinthdeck::standins {

namespace {

/*! \brief Sums over all requests of a run. */
struct Totals {
  std::array<std::uint64_t, kLoadOutcomeCount> outcomes{};
  std::uint64_t attempts = 0;
  //! Hedges and retries.
  std::uint64_t extra_attempts = 0;
  std::uint64_t resends = 0;
  std::uint64_t invalid_answers = 0;
  //! Sum of the coverage of all answers.
  double coverage = 0;
  std::uint64_t answers = 0;
};

[[nodiscard]] bool IsAnswer(const Sample& sample) {
  return sample.outcome == LoadOutcome::kWhole ||
         sample.outcome == LoadOutcome::kPartial;
}

[[nodiscard]] Totals SumTotals(const std::vector<Sample>& samples) {
  Totals totals;
  for (const Sample& sample : samples) {
    ++totals.outcomes[static_cast<std::size_t>(sample.outcome)];
    totals.attempts += sample.attempts;
    totals.extra_attempts += sample.hedges + sample.retries;
    totals.resends += sample.resends;
    totals.invalid_answers +=
        sample.mixed_version_hits + sample.duplicate_hits > 0 ? 1U : 0U;
    if (IsAnswer(sample)) {
      ++totals.answers;
      totals.coverage += sample.coverage;
    }
  }
  return totals;
}

[[nodiscard]] std::vector<Duration> Latencies(
    const std::vector<Sample>& samples) {
  std::vector<Duration> latencies;
  for (const Sample& sample : samples) {
    if (IsAnswer(sample)) {
      latencies.push_back(sample.latency);
    }
  }
  std::ranges::sort(latencies);
  return latencies;
}

//! Returns a percentile in milliseconds by the nearest-rank method; 0 for no
//! latencies.
[[nodiscard]] double Percentile(const std::vector<Duration>& sorted,
                                double fraction) {
  if (sorted.empty()) {
    return 0;
  }
  const double rank = std::ceil(fraction * static_cast<double>(sorted.size()));
  const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return ToMilliseconds(sorted[std::min(index, sorted.size() - 1)]);
}

[[nodiscard]] double PerAnswer(double value, const Totals& totals) {
  return totals.answers == 0 ? 0 : value / static_cast<double>(totals.answers);
}

}  // namespace

std::uint64_t PrintReport(const std::vector<Sample>& samples,
                          std::ostream& out) {
  const Totals totals = SumTotals(samples);
  const std::vector<Duration> latencies = Latencies(samples);
  out << std::fixed << std::setprecision(3) << "requests  " << samples.size()
      << "\nlatency of answers, from the due time\n  p50   "
      << Percentile(latencies, 0.5) << " ms\n  p99   "
      << Percentile(latencies, 0.99) << " ms\n  p99.9 "
      << Percentile(latencies, 0.999) << " ms\nends\n";
  for (std::size_t outcome = 0; outcome < kLoadOutcomeCount; ++outcome) {
    if (totals.outcomes[outcome] > 0) {
      out << "  " << kLoadOutcomeNames.names[outcome] << " "
          << totals.outcomes[outcome] << "\n";
    }
  }
  out << "coverage  " << PerAnswer(totals.coverage, totals)
      << " of the keys, mean of the answers\nattempts  "
      << PerAnswer(static_cast<double>(totals.attempts), totals)
      << " an answer, extra "
      << PerAnswer(static_cast<double>(totals.extra_attempts), totals)
      << "\nresends   " << totals.resends << "\nbroken    "
      << totals.invalid_answers << " answers with mixed versions or a hit twice"
      << std::endl;
  return totals.invalid_answers;
}

void PrintHistogram(const std::vector<Sample>& samples, std::ostream& out) {
  namespace bh = boost::histogram;
  constexpr unsigned kBins = 16;
  constexpr double kLowestMs = 0.25;
  constexpr double kHighestMs = 16384;
  auto histogram =
      bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(
          kBins, kLowestMs, kHighestMs));
  for (const Sample& sample : samples) {
    histogram(ToMilliseconds(sample.latency));
  }
  for (const auto& bin : bh::indexed(histogram, bh::coverage::all)) {
    if (*bin > 0) {
      out << std::setw(12) << bin.bin().lower() << " ms " << std::setw(10)
          << static_cast<std::uint64_t>(*bin) << "\n";
    }
  }
}

std::string ToCsv(const std::vector<Sample>& samples) {
  std::ostringstream csv;
  csv << "number,due_us,latency_us,end,status,reason,version,hits,attempts,"
         "hedges,retries,coverage,resends,mixed,doubled\n";
  for (const Sample& sample : samples) {
    csv << sample.number << ',' << sample.due.count() << ','
        << sample.latency.count() << ','
        << kLoadOutcomeNames.Name(sample.outcome) << ',' << sample.status << ','
        << sample.reason << ',' << sample.version << ',' << sample.hits << ','
        << sample.attempts << ',' << sample.hedges << ',' << sample.retries
        << ',' << sample.coverage << ',' << sample.resends << ','
        << sample.mixed_version_hits << ',' << sample.duplicate_hits << '\n';
  }
  return csv.str();
}

}  // namespace jacinthdeck::standins
