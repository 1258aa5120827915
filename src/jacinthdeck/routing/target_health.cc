// Ejects a target for consecutive failures, a high failure rate, or slowness
// compared with its peers.
#include "jacinthdeck/routing/target_health.h"

#include <algorithm>

namespace jacinthdeck {

namespace internal {

//! Window of the averages, in attempts.
constexpr std::uint32_t kHealthAverageSamples = 12;
//! Samples required before the rates are used.
constexpr std::uint32_t kMinRateSamples = 6;
constexpr std::uint32_t kConsecutiveFailureLimit = 3;
constexpr double kMaxFailureRate = 0.5;
constexpr double kMaxSlowRate = 0.5;
constexpr std::uint32_t kProbesToReinstate = 3;
constexpr Duration kFirstEjection = std::chrono::seconds(1);
constexpr Duration kMaxEjection = std::chrono::seconds(30);
//! Time after a reinstatement after which the ejection backoff starts over.
constexpr Duration kEjectionCountLifetime = std::chrono::seconds(60);
constexpr Duration kProbeInterval = std::chrono::milliseconds(100);

}  // namespace internal

TargetHealth::TargetHealth() noexcept
    : m_failure_rate(internal::kHealthAverageSamples),
      m_slow_rate(internal::kHealthAverageSamples) {}

HealthState TargetHealth::State(TimePoint now) const noexcept {
  if (!m_ejected) {
    return HealthState::kTrusted;
  }
  return now < m_ejected_until ? HealthState::kEjected : HealthState::kProbing;
}

bool TargetHealth::OnEnd(HealthSample sample,
                         bool slower_than_peers,
                         TimePoint now,
                         Random& random) {
  if (m_ejected) {
    OnProbeEnd(sample, now, random);
    return false;
  }
  if (sample == HealthSample::kNone) {
    return false;
  }
  m_failure_rate.Add(sample == HealthSample::kFailed ? 1 : 0);
  m_slow_rate.Add(sample == HealthSample::kSlow ? 1 : 0);
  m_consecutive_failures =
      sample == HealthSample::kFailed ? m_consecutive_failures + 1 : 0;
  if (!IsOutlier(slower_than_peers)) {
    return false;
  }
  if (now - m_reinstated > internal::kEjectionCountLifetime) {
    m_ejections = 0;
  }
  Eject(now, random);
  return true;
}

bool TargetHealth::IsOutlier(bool slower_than_peers) const noexcept {
  if (m_consecutive_failures >= internal::kConsecutiveFailureLimit) {
    return true;
  }
  if (m_failure_rate.samples() < internal::kMinRateSamples) {
    return false;
  }
  return m_failure_rate.value() > internal::kMaxFailureRate ||
         (m_slow_rate.value() > internal::kMaxSlowRate && slower_than_peers);
}

void TargetHealth::Eject(TimePoint now, Random& random) {
  const auto doublings = std::min<std::uint32_t>(m_ejections, 5);
  const Duration max_ejection = std::min(
      internal::kMaxEjection, internal::kFirstEjection * (1U << doublings));
  // Hosts eject a failing target at about the same time. Without jitter they
  // would also probe it at the same time.
  const auto half = static_cast<std::uint64_t>(max_ejection.count()) / 2;
  m_ejected_until = now + max_ejection / 2 +
                    Duration(static_cast<Duration::rep>(random.Below(half)));
  m_ejected = true;
  m_good_probes = 0;
  ++m_ejections;
}

void TargetHealth::OnProbeEnd(HealthSample sample,
                              TimePoint now,
                              Random& random) {
  m_probe_in_flight = false;
  if (State(now) != HealthState::kProbing) {
    return;
  }
  if (sample == HealthSample::kFailed || sample == HealthSample::kSlow) {
    Eject(now, random);
    return;
  }
  m_ejected_until = now + internal::kProbeInterval;
  if (sample != HealthSample::kGood ||
      ++m_good_probes < internal::kProbesToReinstate) {
    return;
  }
  m_ejected = false;
  m_reinstated = now;
  m_consecutive_failures = 0;
  m_failure_rate.Reset();
  m_slow_rate.Reset();
}

}  // namespace jacinthdeck
