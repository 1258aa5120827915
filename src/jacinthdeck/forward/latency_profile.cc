// Quantiles are expensive to compute, so they are updated only once per
// kQuantileInterval answers.
#include "jacinthdeck/forward/latency_profile.h"

#include <algorithm>
#include <chrono>

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! Memory of the decaying mean, in answers.
constexpr std::uint32_t kMeanMemory = 256;
//! Number of answers before measured values replace the assumed ones.
constexpr std::uint64_t kMinSamples = 32;
//! Number of answers between two updates of the quantiles.
constexpr std::uint64_t kQuantileInterval = 32;
//! Objective assumed for a route without one.
constexpr Duration kAssumedObjective = milliseconds(200);
//! Divisor of the objective that gives the assumed mean latency.
constexpr int kInitialMeanDivisor = 8;
//! An attempt slower than this quantile gets a hedge: one in ten, half of the
//! usual budget of extra attempts.
constexpr double kHedgeQuantile = 0.9;
//! A stopping host refuses a call if it has less time than this quantile left.
constexpr double kSlowAnswerQuantile = 0.99;
//! Minimum hedge delay as a multiple of the mean, for routes whose latencies
//! are close together.
constexpr double kMinHedgeMeanFactor = 1.3;
//! Maximum hedge delay as a fraction of the objective: a hedge that is sent
//! later can rarely answer within the objective.
constexpr double kMaxHedgeObjectiveFraction = 0.4;
//! Silence timeout as a multiple of the hedge delay; work does not explain a
//! longer silence.
constexpr double kSilenceFactor = 1.5;
constexpr Duration kMinSilenceTimeout = milliseconds(10);
//! Minimum useful time as a fraction of the mean: with less time left, nearly
//! all answers arrive too late.
constexpr double kMinUsefulMeanFraction = 0.5;
//! Time after the last answer during which the measured latency is fresh: more
//! than twice the longest pause of a target that users report.
constexpr Duration kFreshnessPeriod = milliseconds(500);

[[nodiscard]] Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

LatencyProfile::LatencyProfile(Duration objective)
    : m_objective(objective > Duration::zero() ? objective : kAssumedObjective),
      m_average(kMeanMemory),
      m_mean(m_objective / kInitialMeanDivisor),
      m_hedge_delay(Scaled(m_objective, kMaxHedgeObjectiveFraction)),
      m_silence_timeout(Scaled(m_hedge_delay, kSilenceFactor)),
      m_slow_answer_time(m_objective) {}

LatencyEstimate LatencyProfile::route_latency() const noexcept {
  const std::uint64_t samples = m_histogram.samples();
  return {.mean = m_mean, .samples = samples < kMinSamples ? 0 : samples};
}

Duration LatencyProfile::min_useful_time() const noexcept {
  return route_latency().is_measured() ? Scaled(m_mean, kMinUsefulMeanFraction)
                                       : Duration::zero();
}

bool LatencyProfile::IsFresh(TimePoint now) const noexcept {
  return route_latency().is_measured() &&
         now - m_last_answer < kFreshnessPeriod;
}

void LatencyProfile::Add(Duration latency, TimePoint now) {
  m_last_answer = now;
  m_histogram.Add(latency);
  m_average.Add(static_cast<double>(latency.count()));
  const std::uint64_t samples = m_histogram.samples();
  if (samples >= kMinSamples && samples % kQuantileInterval == 0) {
    UpdateDelays();
  }
}

void LatencyProfile::UpdateDelays() {
  m_mean = std::max(Duration(static_cast<Duration::rep>(m_average.value())),
                    Duration(1));
  const Duration min_delay = Scaled(m_mean, kMinHedgeMeanFactor);
  const Duration max_delay = Scaled(m_objective, kMaxHedgeObjectiveFraction);
  const Duration quantile = m_histogram.Quantile(kHedgeQuantile);
  m_hedge_delay =
      std::max(std::min(quantile, max_delay), std::min(min_delay, max_delay));
  m_silence_timeout =
      std::max(Scaled(m_hedge_delay, kSilenceFactor), kMinSilenceTimeout);
  m_slow_answer_time =
      m_hedge_delay + m_histogram.Quantile(kSlowAnswerQuantile);
}

}  // namespace jacinthdeck
