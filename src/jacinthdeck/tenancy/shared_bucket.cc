// Replays the steps of the share since the last update.
#include "jacinthdeck/tenancy/shared_bucket.h"

#include <algorithm>
#include <iterator>

namespace jacinthdeck {

namespace {

//! Error allowed for a whole token after many additions of fractions.
constexpr double kTokenRounding = 1e-6;

[[nodiscard]] double SecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

}  // namespace

void SharedBucket::Advance(const RatePlan& plan,
                           const ShareHistory& history,
                           TimePoint now) {
  const auto& steps = history.steps();
  if (steps.empty() || now <= m_updated) {
    m_level = steps.empty() ? 0 : m_level;
    return;
  }
  if (m_updated < steps.front().since) {
    m_level = 0;
  }
  const auto later = [](TimePoint time, const ShareHistory::Step& step) {
    return time < step.since;
  };
  auto step = std::upper_bound(steps.begin(), steps.end(), m_updated, later);
  step = step == steps.begin() ? step : std::prev(step);
  for (; step != steps.end() && step->since < now; ++step) {
    const auto next = std::next(step);
    const TimePoint from = std::max(step->since, m_updated);
    const TimePoint to = next == steps.end() ? now : std::min(next->since, now);
    const double size = SizeOf(plan, step->share);
    const double gain = plan.rate * step->share * SecondsBetween(from, to);
    m_level = std::min(std::min(m_level, size) + gain, size);
  }
  m_updated = now;
  m_level = std::min(m_level, SizeOf(plan, history.share()));
}

bool SharedBucket::TryTake() {
  if (m_level < 1 - kTokenRounding) {
    return false;
  }
  m_level = std::max(m_level - 1, 0.0);
  return true;
}

double SharedBucket::TakeUpTo(double tokens) {
  const double taken = std::min(tokens, m_level);
  m_level -= taken;
  return taken;
}

void SharedBucket::Return(const RatePlan& plan, double share) {
  m_level = std::min(m_level + 1, SizeOf(plan, share));
}

bool SharedBucket::IsFull(const RatePlan& plan, double share) const {
  return m_level >= SizeOf(plan, share) - kTokenRounding;
}

double SharedBucket::SizeOf(const RatePlan& plan, double share) noexcept {
  const double size = plan.burst * share;
  const bool may_hold_one = plan.whole_token && share > 0.5;
  return may_hold_one ? std::max(size, 1.0) : size;
}

}  // namespace jacinthdeck
