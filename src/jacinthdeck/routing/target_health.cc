// Ejection by failures in a row, failure rate, or lateness against the service.
#include "jacinthdeck/routing/target_health.h"

#include <algorithm>

namespace jacinthdeck {

namespace internal {

//! Attempts after which an outcome has mostly faded.
constexpr std::uint32_t kHealthMemory = 12;
//! Samples before a rate is believed.
constexpr std::uint32_t kLeastSamples = 6;
constexpr std::uint32_t kFailuresInRow = 3;
constexpr double kFailureRate = 0.5;
constexpr double kSlowRate = 0.5;
constexpr std::uint32_t kGoodProbes = 3;
constexpr Duration kFirstEjection = std::chrono::seconds(1);
constexpr Duration kLongestEjection = std::chrono::seconds(30);
//! Time without an ejection after which earlier ones are forgotten.
constexpr Duration kForgiveAfter = std::chrono::seconds(60);
constexpr Duration kProbeGap = std::chrono::milliseconds(100);

}  // namespace internal

TargetHealth::TargetHealth() noexcept
    : m_failures(internal::kHealthMemory), m_slow(internal::kHealthMemory) {}

HealthState TargetHealth::State(TimePoint now) const noexcept {
  if (!m_ejected) {
    return HealthState::kTrusted;
  }
  return now < m_until ? HealthState::kEjected : HealthState::kProbing;
}

bool TargetHealth::OnEnd(Verdict verdict,
                         bool stands_out,
                         TimePoint now,
                         Random& random) {
  if (m_ejected) {
    OnProbeEnd(verdict, now, random);
    return false;
  }
  if (verdict == Verdict::kNone) {
    return false;
  }
  m_failures.Add(verdict == Verdict::kFailed ? 1 : 0);
  m_slow.Add(verdict == Verdict::kSlow ? 1 : 0);
  m_failures_in_row = verdict == Verdict::kFailed ? m_failures_in_row + 1 : 0;
  if (!IsOutlier(stands_out)) {
    return false;
  }
  if (now - m_reinstated > internal::kForgiveAfter) {
    m_ejections = 0;
  }
  Eject(now, random);
  return true;
}

bool TargetHealth::IsOutlier(bool stands_out) const noexcept {
  if (m_failures_in_row >= internal::kFailuresInRow) {
    return true;
  }
  if (m_failures.samples() < internal::kLeastSamples) {
    return false;
  }
  return m_failures.value() > internal::kFailureRate ||
         (m_slow.value() > internal::kSlowRate && stands_out);
}

void TargetHealth::Eject(TimePoint now, Random& random) {
  const auto doublings = std::min<std::uint32_t>(m_ejections, 5);
  const Duration longest = std::min(
      internal::kLongestEjection, internal::kFirstEjection * (1U << doublings));
  // Entries eject a target at one moment; without jitter they would all probe
  // it at one moment too.
  const auto half = static_cast<std::uint64_t>(longest.count()) / 2;
  m_until = now + longest / 2 +
            Duration(static_cast<Duration::rep>(random.Below(half)));
  m_ejected = true;
  m_good_probes = 0;
  ++m_ejections;
}

void TargetHealth::OnProbeEnd(Verdict verdict, TimePoint now, Random& random) {
  m_probe_in_flight = false;
  if (State(now) != HealthState::kProbing) {
    return;
  }
  if (verdict == Verdict::kFailed || verdict == Verdict::kSlow) {
    Eject(now, random);
    return;
  }
  m_until = now + internal::kProbeGap;
  if (verdict != Verdict::kGood || ++m_good_probes < internal::kGoodProbes) {
    return;
  }
  m_ejected = false;
  m_reinstated = now;
  m_failures_in_row = 0;
  m_failures.Reset();
  m_slow.Reset();
}

}  // namespace jacinthdeck
