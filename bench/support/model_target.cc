// First come, first served; work in hand goes on after a pause.
#include "support/model_target.h"

#include <algorithm>
#include <utility>

namespace jacinthdeck::bench {

namespace {

//! Bounds of a request's work, over the average: the spread that users report.
constexpr double kLeastWork = 0.65;
constexpr double kWorkSpread = 0.66;
//! One request in a hundred takes so many times as long.
constexpr double kTailShare = 0.01;
constexpr double kTailFactor = 5;

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

Arrival ModelTarget::Take(std::uint64_t attempt,
                          Duration service_time,
                          TimePoint now) {
  const TargetFaultPeriod* fault = FaultAt(now);
  double factor = kLeastWork + kWorkSpread * m_random.Unit();
  factor *= m_random.Unit() < kTailShare ? kTailFactor : 1;
  if (fault != nullptr) {
    switch (fault->kind) {
      case TargetFault::kSlow:
        factor *= fault->strength;
        break;
      case TargetFault::kDown:
        return Arrival::kNotConnected;
      case TargetFault::kUnresponsive:
        return Arrival::kIgnored;
      case TargetFault::kShedding:
        if (m_random.Unit() < fault->strength) {
          return Arrival::kRefused;
        }
        break;
    }
  }
  if (m_waiting.size() >= m_load.queue_capacity) {
    return Arrival::kRefused;
  }
  m_waiting.push_back({attempt, Scaled(service_time, factor)});
  return Arrival::kTaken;
}

void ModelTarget::Drop(std::uint64_t attempt) {
  std::erase(m_running, attempt);
  std::erase_if(m_waiting, [&](const Waiting& waiting) {
    return waiting.attempt == attempt;
  });
}

std::vector<ModelTarget::Started> ModelTarget::StartWork(TimePoint now) {
  std::vector<Started> started;
  if (PausedUntil(now)) {
    return started;
  }
  while (m_running.size() < m_load.slots && !m_waiting.empty()) {
    const Waiting next = m_waiting.front();
    m_waiting.pop_front();
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
  report.waiting = static_cast<std::uint32_t>(m_waiting.size());
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
