// Updates load, latency and failures from the ends of attempts.
#include "jacinthdeck/forward/learned_target.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! Number of answers that the slowness remembers: a target that becomes slow is
//! detected within a few answers, and a single slow answer is not enough.
constexpr std::uint32_t kSlownessMemory = 8;
//! Number of answers over which the latency of the served requests is averaged:
//! enough to include all kinds of requests that the target gets.
constexpr std::uint32_t kServedLatencyMemory = 64;
//! Bounds of one sample of slowness, so that a single pause does not make a
//! target count as a slow machine.
constexpr double kMaxSlowness = 8;
constexpr double kMinSlowness = 0.3;
//! Weight of one more failure in the failure rate.
constexpr double kFailureWeight = 0.2;
//! Weight of a shed request in the failure rate: it means that the target is
//! full, which passes sooner than a fault.
constexpr double kShedWeight = 0.1;
//! Half-life of the failure rate: a target that is avoided because of its
//! failures must be tried again.
constexpr double kFailureHalfLifeMicroseconds = 2e6;
//! Delay that a failure rate of 1 adds to the expected delay, in service times.
constexpr double kFailurePenalty = 12;
//! Age at which a load report no longer counts.
constexpr Duration kLoadReportLifetime = milliseconds(400);
//! Part of a service time that each busy slot is expected to cost: a slot that
//! was free in the last report may be busy when the request arrives.
constexpr double kBusyCost = 0.25;
//! Backoff after an attempt that was never answered, doubled each time.
constexpr Duration kInitialBackoff = milliseconds(100);
constexpr Duration kMaxBackoff = seconds(2);
constexpr std::uint32_t kMaxDoublings = 5;

}  // namespace

TrackedTarget::TrackedTarget(TargetEntry entry, TimePoint now)
    : m_entry(std::move(entry)),
      m_known_since(now),
      m_last_reply(now),
      m_slowness(kSlownessMemory),
      m_served_latency(kServedLatencyMemory),
      m_failed_at(now),
      m_unresponsive_until(now),
      m_load_at(now - kLoadReportLifetime) {}

std::size_t TrackedTarget::required_in_flight() const noexcept {
  return static_cast<std::size_t>(
      std::ranges::count_if(m_in_flight, &InFlight::required));
}

bool TrackedTarget::IsUnresponsive(TimePoint now) const noexcept {
  if (now < m_unresponsive_until || IsSilent(now)) {
    return true;
  }
  // One request at a time tests whether the target is back.
  return m_consecutive_unanswered > 0 && !m_in_flight.empty();
}

Duration TrackedTarget::ExpectedDelay(const LatencyEstimate& route_latency,
                                      TimePoint now) const {
  const double mean = static_cast<double>(route_latency.mean.count());
  const double served_mean =
      m_served_latency.samples() > 0 ? m_served_latency.value() : mean;
  const double queued_mean = std::min(mean, served_mean);
  const double own_mean = route_latency.is_measured() ? mean : queued_mean;
  const double slowness = m_slowness.samples() > 0 ? m_slowness.value() : 1;
  const double occupancy = Occupancy(now);
  const double slots = std::max<double>(m_entry.slots, 1);
  const double wait = std::max(occupancy - 1 + 1 / slots, 0.0);
  const double work = slowness * (1 + kBusyCost * std::min(occupancy, 1.0)) +
                      kFailurePenalty * FailureRate(now);
  return Duration(static_cast<Duration::rep>(own_mean * work +
                                             queued_mean * slowness * wait));
}

double TrackedTarget::Occupancy(TimePoint now) const noexcept {
  const auto age = static_cast<double>((now - m_load_at).count());
  const double report_weight =
      std::max(1 - age / static_cast<double>(kLoadReportLifetime.count()), 0.0);
  const double reported = m_load.running + m_load.waiting;
  const double others =
      std::max(reported - static_cast<double>(m_own_in_report), 0.0);
  const double total =
      static_cast<double>(m_in_flight.size()) + report_weight * others;
  return total / std::max<double>(m_entry.slots, 1);
}

double TrackedTarget::FailureRate(TimePoint now) const noexcept {
  const auto age = static_cast<double>((now - m_failed_at).count());
  return m_failure_rate * std::exp2(-age / kFailureHalfLifeMicroseconds);
}

void TrackedTarget::SetEntry(const TargetEntry& entry, TimePoint now) {
  const bool restarted = entry.started_ms != m_entry.started_ms ||
                         entry.address != m_entry.address ||
                         entry.port != m_entry.port;
  m_entry = entry;
  m_removed = false;
  if (!restarted) {
    return;
  }
  m_unreachable = false;
  m_slowness.Reset();
  m_served_latency.Reset();
  m_failure_rate = 0;
  m_consecutive_unanswered = 0;
  m_unresponsive_until = now;
  m_last_reply = now;
}

void TrackedTarget::OnSend(AttemptId attempt,
                           Duration silence_timeout,
                           bool required,
                           TimePoint now) {
  m_in_flight.push_back({attempt, now, silence_timeout, required});
  m_last_sent = now;
}

void TrackedTarget::OnAnswer(AttemptId attempt,
                             Duration latency,
                             const LatencyEstimate& route_latency,
                             TimePoint now) {
  (void)RemoveInFlight(attempt);
  MarkResponsive(now);
  const auto mean =
      static_cast<double>(std::max(route_latency.mean, Duration(1)).count());
  const double ratio = static_cast<double>(latency.count()) / mean;
  if (route_latency.is_measured()) {
    m_served_latency.Add(mean);
  }
  m_slowness.Add(std::clamp(ratio, kMinSlowness, kMaxSlowness));
  m_failure_rate = FailureRate(now) * (1 - kFailureWeight);
  m_failed_at = now;
}

void TrackedTarget::OnFailure(AttemptId attempt, TimePoint now) {
  (void)RemoveInFlight(attempt);
  MarkResponsive(now);
  AddFailure(kFailureWeight, now);
}

void TrackedTarget::OnShed(AttemptId attempt, TimePoint now) {
  (void)RemoveInFlight(attempt);
  MarkResponsive(now);
  AddFailure(kShedWeight, now);
}

void TrackedTarget::OnLost(AttemptId attempt, TimePoint now) {
  (void)RemoveInFlight(attempt);
  AddFailure(kFailureWeight, now);
  MarkUnresponsive(now);
}

void TrackedTarget::OnCancel(AttemptId attempt, TimePoint now) {
  const auto removed = RemoveInFlight(attempt);
  if (removed &&
      now - std::max(removed->sent, m_last_reply) > removed->silence_timeout) {
    MarkUnresponsive(now);
  }
}

void TrackedTarget::OnLoad(const LoadReport& report, TimePoint now) {
  m_load = report;
  m_load_at = now;
  m_own_in_report = m_in_flight.size();
}

std::optional<TrackedTarget::InFlight> TrackedTarget::RemoveInFlight(
    AttemptId attempt) {
  const auto found = std::ranges::find(m_in_flight, attempt, &InFlight::id);
  if (found == m_in_flight.end()) {
    return std::nullopt;
  }
  const InFlight removed = *found;
  m_in_flight.erase(found);
  return removed;
}

bool TrackedTarget::IsSilent(TimePoint now) const noexcept {
  return std::ranges::any_of(m_in_flight, [&](const InFlight& attempt) {
    return now - std::max(attempt.sent, m_last_reply) > attempt.silence_timeout;
  });
}

void TrackedTarget::MarkResponsive(TimePoint now) noexcept {
  m_last_reply = now;
  m_consecutive_unanswered = 0;
  m_unresponsive_until = now;
}

void TrackedTarget::AddFailure(double weight, TimePoint now) {
  m_failure_rate = FailureRate(now) * (1 - weight) + weight;
  m_failed_at = now;
}

void TrackedTarget::MarkUnresponsive(TimePoint now) {
  const std::uint32_t doublings =
      std::min(m_consecutive_unanswered, kMaxDoublings);
  m_unresponsive_until =
      now + std::min(kInitialBackoff * (1U << doublings), kMaxBackoff);
  ++m_consecutive_unanswered;
}

}  // namespace jacinthdeck
