// Statistics of the answers of a run of the tail bench.
#ifndef JACINTHDECK_BENCH_SUPPORT_TAIL_STATS_H_
#define JACINTHDECK_BENCH_SUPPORT_TAIL_STATS_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "jacinthdeck/query/answer.h"
#include "support/tail_case.h"

namespace jacinthdeck::bench {

/*! \brief Accumulates answers and computes the result of a run. */
class TailStats {
 public:
  /**
   * \brief Counts an answer.
   * \param extra_attempts Attempts beyond the fan-out.
   */
  void Add(Duration latency, Outcome outcome, double extra_attempts) {
    ++m_calls;
    // Refusals are fast: counting them would improve the latencies of an
    // overloaded tier.
    if (outcome != Outcome::kNotRun) {
      m_latencies.push_back(ToMilliseconds(latency));
    }
    m_whole += outcome == Outcome::kWhole ? 1 : 0;
    m_partial += outcome == Outcome::kPartial ? 1 : 0;
    m_extra_attempts += extra_attempts;
  }

  /*! \brief Counts an answer as wrong if its covered and missing ranges do not
   * add up to the key space, or if it is whole but misses a range. */
  void CheckCoverage(const Answer& answer) {
    std::uint64_t sum = 0;
    for (const KeyRange& range : answer.covered) {
      sum += range.end - range.begin;
    }
    for (const KeyRange& range : answer.missing) {
      sum += range.end - range.begin;
    }
    const bool refused = answer.covered.empty() && answer.missing.empty();
    const bool whole = answer.outcome == Outcome::kWhole;
    if ((!refused && sum != kKeySpaceEnd) ||
        (whole && !answer.missing.empty())) {
      ++m_wrong_answers;
    }
  }

  /*! \brief Counts calls that got no answer or more than one as wrong. */
  void CountWrongAnswers(std::uint64_t count) { m_wrong_answers += count; }

  /*! \brief Computes the result; the measured time is simulated time. */
  [[nodiscard]] TailResult ComputeResult(Duration measured_time) {
    std::ranges::sort(m_latencies);
    TailResult result;
    result.p50_ms = Quantile(0.5);
    result.p99_ms = Quantile(0.99);
    result.p999_ms = Quantile(0.999);
    result.whole = m_whole / m_calls;
    result.partial = m_partial / m_calls;
    result.extra_attempts = m_extra_attempts / m_calls;
    result.goodput = m_whole / (ToMilliseconds(measured_time) / 1000);
    result.wrong_answers = m_wrong_answers;
    return result;
  }

 private:
  [[nodiscard]] double Quantile(double quantile) const {
    if (m_latencies.empty()) {
      return 0;
    }
    const auto last = static_cast<double>(m_latencies.size() - 1);
    return m_latencies[static_cast<std::size_t>(quantile * last)];
  }

  std::vector<double> m_latencies;
  double m_calls = 0;
  double m_whole = 0;
  double m_partial = 0;
  double m_extra_attempts = 0;
  std::uint64_t m_wrong_answers = 0;
};

}  // namespace jacinthdeck::bench

#endif  // JACINTHDECK_BENCH_SUPPORT_TAIL_STATS_H_
