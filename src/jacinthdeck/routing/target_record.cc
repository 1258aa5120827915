// Rank and statistics of one target.
#include "jacinthdeck/routing/target_record.h"

#include <algorithm>

namespace jacinthdeck {

namespace internal {

constexpr std::uint32_t kLatencyAverageSamples = 24;
//! A target is slow above this multiple of the fastest peer's latency; smaller
//! differences are noise on a busy target.
constexpr double kSlowLatencyRatio = 2;
//! A target with requests in flight is unresponsive if it has not replied for
//! this multiple of the time after which an attempt is late.
constexpr int kUnresponsiveLateMultiple = 2;
//! Time for which a target's report that it is draining stays in effect. The
//! host list is updated seconds later. A target that is still draining after
//! this time reports it again without executing the request.
constexpr Duration kDrainingHold = std::chrono::seconds(10);
constexpr Duration kShedBackoff = std::chrono::milliseconds(10);
//! Backoff per consecutive late attempt that was cancelled without a reply.
constexpr Duration kUnansweredBackoff = std::chrono::milliseconds(50);
constexpr std::uint32_t kMaxShedDoublings = 5;
//! Lifetime of a load report, in average latencies of the service.
constexpr double kHintLifetimeLatencies = 8;
//! Age at which past latencies and failures no longer affect the choice. A
//! target without requests yields no new samples, so old ones would exclude it
//! forever.
constexpr Duration kStatisticsLifetime = std::chrono::seconds(2);
constexpr Duration kMinHintLifetime = std::chrono::milliseconds(1);

}  // namespace internal

TargetRecord::TargetRecord(const TargetInfo& info, ServiceRecord& service)
    : m_info(info),
      m_service(&service),
      m_window(info.slots),
      m_latency(internal::kLatencyAverageSamples) {}

Duration TargetRecord::latency() const noexcept {
  return Duration(static_cast<Duration::rep>(m_latency.value()));
}

bool TargetRecord::IsFull(std::uint32_t share, TimePoint now) const noexcept {
  const std::uint32_t size = m_window.Size(share);
  const std::uint32_t after_shed = std::min(size, m_window.floor());
  return m_in_flight >= (HasShedRecently(now) ? after_shed : size);
}

bool TargetRecord::IsSlow() const noexcept {
  return m_peer_latency > Duration::zero() &&
         latency() > internal::kSlowLatencyRatio * m_peer_latency;
}

void TargetRecord::OnOverdue(Duration latency) noexcept {
  m_latency.Add(
      std::max(m_latency.value(), static_cast<double>(latency.count())));
}

bool TargetRecord::IsUnresponsive(TimePoint now) const noexcept {
  return m_in_flight > 0 &&
         now - m_waiting_since >
             m_service->late_after() * internal::kUnresponsiveLateMultiple;
}

TargetRank TargetRecord::Rank(TimePoint now) const noexcept {
  if (m_info.state != TargetState::kLive || IsDraining(now)) {
    return TargetRank::kExcluded;
  }
  if (m_health.State(now) != HealthState::kTrusted) {
    return TargetRank::kEjected;
  }
  return HasShedRecently(now) || now < m_degraded_until || IsUnresponsive(now)
             ? TargetRank::kDegraded
             : TargetRank::kPreferred;
}

double TargetRecord::Freshness(TimePoint now) const noexcept {
  const auto age = static_cast<double>((now - m_last_end).count());
  const auto lifetime =
      static_cast<double>(internal::kStatisticsLifetime.count());
  return std::max(0.0, 1 - age / lifetime);
}

ReplicaView TargetRecord::View(TimePoint now) const noexcept {
  ReplicaView view;
  view.in_flight = m_in_flight;
  const double service_latency = m_service->latency();
  const auto hint_lifetime = Duration(static_cast<Duration::rep>(
      service_latency * internal::kHintLifetimeLatencies));
  view.load_hint =
      m_hint.Value(now, std::max(hint_lifetime, internal::kMinHintLifetime));
  if (m_latency.samples() == internal::kLatencyAverageSamples &&
      service_latency > 0) {
    const double latency_ratio = m_latency.value() / service_latency;
    view.relative_latency = 1 + (latency_ratio - 1) * Freshness(now);
  }
  view.bad_attempt_rate =
      (m_health.failure_rate() + m_health.slow_rate()) * Freshness(now);
  return view;
}

void TargetRecord::OnSend(TimePoint now) noexcept {
  if (m_in_flight == 0) {
    m_waiting_since = now;
  }
  ++m_in_flight;
}

void TargetRecord::OnEnd(TimePoint now) noexcept {
  m_last_end = now;
  m_in_flight -= std::min<std::uint32_t>(m_in_flight, 1);
}

void TargetRecord::OnAnswer(Duration latency,
                            std::uint32_t share,
                            TimePoint now) noexcept {
  m_latency.Add(static_cast<double>(latency.count()));
  m_window.OnAnswer(m_in_flight + 1, share);
  OnReply(now);
  m_consecutive_sheds = 0;
  m_draining_until.reset();
}

std::uint32_t TargetRecord::OnUnanswered(TimePoint sent,
                                         TimePoint now) noexcept {
  if (m_last_reply >= sent) {
    return 0;
  }
  ++m_consecutive_unanswered;
  m_degraded_until =
      std::max(m_degraded_until,
               now + internal::kUnansweredBackoff * m_consecutive_unanswered);
  return m_consecutive_unanswered;
}

void TargetRecord::OnReply(TimePoint now) noexcept {
  m_last_reply = now;
  m_waiting_since = now;
  m_consecutive_unanswered = 0;
}

void TargetRecord::OnShed(TimePoint now) noexcept {
  OnReply(now);
  m_window.OnOverload(now);
  const auto doublings =
      std::min(m_consecutive_sheds, internal::kMaxShedDoublings);
  m_shed_until = now + internal::kShedBackoff * (1U << doublings);
  ++m_consecutive_sheds;
}

void TargetRecord::OnDraining(TimePoint now) noexcept {
  OnReply(now);
  m_draining_until = now + internal::kDrainingHold;
}

}  // namespace jacinthdeck
