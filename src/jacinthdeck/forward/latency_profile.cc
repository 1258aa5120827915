// Quantiles are costly to find, so they are renewed once in a while.
#include "jacinthdeck/forward/latency_profile.h"

#include <algorithm>
#include <chrono>

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! Samples that the average remembers.
constexpr std::uint32_t kMeanMemory = 256;
//! Answers before the quantiles replace the guess.
constexpr std::uint64_t kMinSamples = 32;
//! Answers between two looks at the quantiles.
constexpr std::uint64_t kQuantileInterval = 32;
//! Objective of a route that names none.
constexpr Duration kAssumedObjective = milliseconds(200);
//! Part of the objective that work is guessed to take.
constexpr int kInitialMeanPart = 8;
//! An attempt above this quantile gets a hedge: one in ten, half of the usual
//! budget of extra attempts.
constexpr double kHedgeQuantile = 0.9;
//! A hedge is never sent before this multiple of the mean, where latencies lie
//! close together.
constexpr double kMinHedgeMeans = 1.3;
//! A hedge that is sent later can seldom answer within the objective.
constexpr double kMaxHedgePart = 0.4;
//! Silence that work does not explain: this multiple of the hedge delay.
constexpr double kSilenceFactor = 1.5;
constexpr Duration kMinSilenceTimeout = milliseconds(10);
//! With less than this part of the mean left nearly all answers come too late.
constexpr double kMinUsefulPart = 0.5;
//! Time for which the last answer vouches for the latencies: more than twice
//! the longest pause of a target that users report.
constexpr Duration kFreshnessPeriod = milliseconds(500);

[[nodiscard]] Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

LatencyProfile::LatencyProfile(Duration objective)
    : m_objective(objective > Duration::zero() ? objective : kAssumedObjective),
      m_average(kMeanMemory),
      m_mean(m_objective / kInitialMeanPart),
      m_hedge_delay(Scaled(m_objective, kMaxHedgePart)),
      m_silence_timeout(Scaled(m_hedge_delay, kSilenceFactor)) {}

LatencyEstimate LatencyProfile::route_latency() const noexcept {
  const std::uint64_t samples = m_histogram.samples();
  return {.mean = m_mean, .samples = samples < kMinSamples ? 0 : samples};
}

Duration LatencyProfile::min_useful_time() const noexcept {
  return route_latency().is_measured() ? Scaled(m_mean, kMinUsefulPart)
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
  const Duration least = Scaled(m_mean, kMinHedgeMeans);
  const Duration latest = Scaled(m_objective, kMaxHedgePart);
  const Duration quantile = m_histogram.Quantile(kHedgeQuantile);
  m_hedge_delay = std::max(std::min(quantile, latest), std::min(least, latest));
  m_silence_timeout =
      std::max(Scaled(m_hedge_delay, kSilenceFactor), kMinSilenceTimeout);
}

}  // namespace jacinthdeck
