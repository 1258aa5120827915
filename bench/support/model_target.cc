// Serves requests in FIFO order. A request that would finish during a pause
// finishes at the end of the pause.
#include "support/model_target.h"

#include <algorithm>
#include <utility>

namespace jacinthdeck::bench {

namespace {

//! Minimum and range of a request's service time as factors of the mean: the
//! spread that users report.
constexpr double kMinServiceFactor = 0.65;
constexpr double kServiceFactorSpread = 0.66;
//! One request in a hundred takes five times as long.
constexpr double kSlowRequestShare = 0.01;
constexpr double kSlowRequestFactor = 5;

[[nodiscard]] Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

ModelTarget::ModelTarget(const ForwardCase& load,
                         std::vector<TargetFaultPeriod> faults,
                         TimePoint start,
                         std::uint64_t seed)
    : m_load(load),
      m_faults(std::move(faults)),
      m_start(start),
      m_random(seed),
      m_pause_phase(static_cast<Duration::rep>(m_random.Below(
          static_cast<std::uint64_t>(load.pause_period.count())))) {}

ArrivalOutcome ModelTarget::Arrive(std::uint64_t attempt,
                                   Duration service_time,
                                   TimePoint now) {
  const TargetFaultPeriod* fault = FaultAt(now);
  double factor = kMinServiceFactor + kServiceFactorSpread * m_random.Unit();
  factor *= m_random.Unit() < kSlowRequestShare ? kSlowRequestFactor : 1;
  if (fault != nullptr) {
    switch (fault->kind) {
      case TargetFault::kSlow:
        factor *= fault->strength;
        break;
      case TargetFault::kDown:
        return ArrivalOutcome::kNotConnected;
      case TargetFault::kUnresponsive:
        return ArrivalOutcome::kIgnored;
      case TargetFault::kShedding:
        if (m_random.Unit() < fault->strength) {
          return ArrivalOutcome::kRefused;
        }
        break;
    }
  }
  if (m_queue.size() >= m_load.queue_capacity) {
    return ArrivalOutcome::kRefused;
  }
  m_queue.push_back({attempt, Scaled(service_time, factor)});
  return ArrivalOutcome::kAccepted;
}

void ModelTarget::Drop(std::uint64_t attempt) {
  std::erase(m_running, attempt);
  std::erase_if(m_queue, [&](const QueuedRequest& queued) {
    return queued.attempt == attempt;
  });
}

std::vector<ModelTarget::StartedRequest> ModelTarget::StartWork(TimePoint now) {
  std::vector<StartedRequest> started;
  if (PausedUntil(now)) {
    return started;
  }
  while (m_running.size() < m_load.slots && !m_queue.empty()) {
    const QueuedRequest next = m_queue.front();
    m_queue.pop_front();
    m_running.push_back(next.attempt);
    started.push_back({next.attempt, now + next.service_time});
  }
  return started;
}

std::optional<TimePoint> ModelTarget::PausedUntil(TimePoint now) const {
  const Duration since = (now - m_start + m_pause_phase) % m_load.pause_period;
  if (since >= m_load.pause) {
    return std::nullopt;
  }
  return now + (m_load.pause - since);
}

LoadReport ModelTarget::Load() const {
  LoadReport report;
  report.running = static_cast<std::uint32_t>(m_running.size());
  report.waiting = static_cast<std::uint32_t>(m_queue.size());
  report.slots = m_load.slots;
  return report;
}

bool ModelTarget::IsAlive(TimePoint now) const {
  const TargetFaultPeriod* fault = FaultAt(now);
  return fault == nullptr || (fault->kind != TargetFault::kDown &&
                              fault->kind != TargetFault::kUnresponsive);
}

const TargetFaultPeriod* ModelTarget::FaultAt(TimePoint now) const {
  const auto found =
      std::ranges::find_if(m_faults, [&](const TargetFaultPeriod& period) {
        return now >= m_start + period.from && now < m_start + period.until;
      });
  return found == m_faults.end() ? nullptr : &*found;
}

}  // namespace jacinthdeck::bench
