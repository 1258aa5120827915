// Ranks and statistics of one target.
#include "jacinthdeck/routing/target_record.h"

#include <algorithm>

namespace jacinthdeck {

namespace internal {

constexpr std::uint32_t kLatencyMemory = 24;
//! Latencies within this factor of the peers' are noise of a busy target.
constexpr double kSlowFactor = 2;
//! Silence of this many hedge delays makes a target doubtful.
constexpr int kSilentDelays = 2;
//! How long the word of a target that it is draining holds. The host list lags
//! by seconds; one that still drains then says so again without running
//! anything.
constexpr Duration kDrainingHold = std::chrono::seconds(10);
constexpr Duration kShedPause = std::chrono::milliseconds(10);
//! Pause after attempts that got no answer, for each in a row but the first: a
//! single one is most often a straggler.
constexpr Duration kUnansweredPause = std::chrono::milliseconds(50);
constexpr std::uint32_t kMostShedDoublings = 5;
//! A load report is worth nothing after this many average latencies.
constexpr double kHintLatencies = 8;
//! Age at which past latencies and troubles no longer keep work away. A target
//! that gets no work gives no newer ones, so it would never get any again.
constexpr Duration kMemoryLife = std::chrono::seconds(2);
constexpr Duration kLeastHintLife = std::chrono::milliseconds(1);

}  // namespace internal

TargetRecord::TargetRecord(const TargetInfo& info, ServiceRecord& service)
    : m_info(info),
      m_service(&service),
      m_window(info.slots),
      m_latency(internal::kLatencyMemory) {}

Duration TargetRecord::latency() const noexcept {
  return Duration(static_cast<Duration::rep>(m_latency.value()));
}

bool TargetRecord::IsFull(std::uint32_t share, TimePoint now) const noexcept {
  const std::uint32_t size = m_window.Size(share);
  const std::uint32_t after_shed = std::min(size, m_window.floor());
  return m_in_flight >= (HasShed(now) ? after_shed : size);
}

bool TargetRecord::IsSlow() const noexcept {
  return m_peer_latency > Duration::zero() &&
         latency() > internal::kSlowFactor * m_peer_latency;
}

void TargetRecord::OnOverdue(Duration latency) noexcept {
  m_latency.Add(
      std::max(m_latency.value(), static_cast<double>(latency.count())));
}

bool TargetRecord::IsSilent(TimePoint now) const noexcept {
  return m_in_flight > 0 && now - m_waiting_since > m_service->late_after() *
                                                        internal::kSilentDelays;
}

TargetRank TargetRecord::Rank(TimePoint now) const noexcept {
  if (m_info.state != TargetState::kLive || IsDraining(now)) {
    return TargetRank::kExcluded;
  }
  if (m_health.State(now) != HealthState::kTrusted) {
    return TargetRank::kEjected;
  }
  return HasShed(now) || now < m_doubtful_until || IsSilent(now)
             ? TargetRank::kDoubtful
             : TargetRank::kPreferred;
}

double TargetRecord::Freshness(TimePoint now) const noexcept {
  const auto age = static_cast<double>((now - m_last_end).count());
  const auto life = static_cast<double>(internal::kMemoryLife.count());
  return std::max(0.0, 1 - age / life);
}

ReplicaView TargetRecord::View(TimePoint now) const noexcept {
  ReplicaView view;
  view.in_flight = m_in_flight;
  const double usual = m_service->latency();
  const auto hint_life =
      Duration(static_cast<Duration::rep>(usual * internal::kHintLatencies));
  view.load_hint =
      m_hint.Value(now, std::max(hint_life, internal::kLeastHintLife));
  if (m_latency.samples() == internal::kLatencyMemory && usual > 0) {
    const double relative = m_latency.value() / usual;
    view.relative_latency = 1 + (relative - 1) * Freshness(now);
  }
  view.trouble_rate =
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
  m_sheds_in_row = 0;
  m_draining_until.reset();
}

std::uint32_t TargetRecord::OnUnanswered(TimePoint sent,
                                         TimePoint now) noexcept {
  if (m_last_reply >= sent) {
    return 0;
  }
  ++m_unanswered_in_row;
  m_doubtful_until = std::max(
      m_doubtful_until, now + internal::kUnansweredPause * m_unanswered_in_row);
  return m_unanswered_in_row;
}

void TargetRecord::OnReply(TimePoint now) noexcept {
  m_last_reply = now;
  m_waiting_since = now;
  m_unanswered_in_row = 0;
}

void TargetRecord::OnShed(TimePoint now) noexcept {
  OnReply(now);
  m_window.OnPressure(now);
  const auto doublings = std::min(m_sheds_in_row, internal::kMostShedDoublings);
  m_shed_until = now + internal::kShedPause * (1U << doublings);
  ++m_sheds_in_row;
}

void TargetRecord::OnDraining(TimePoint now) noexcept {
  OnReply(now);
  m_draining_until = now + internal::kDrainingHold;
}

}  // namespace jacinthdeck
