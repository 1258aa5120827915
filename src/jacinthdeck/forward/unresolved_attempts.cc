// Table of unresolved attempts by target.
#include "jacinthdeck/forward/unresolved_attempts.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jacinthdeck {

std::vector<TargetId> UnresolvedAttempts::Targets() const {
  std::vector<TargetId> ids;
  ids.reserve(m_targets.size());
  for (const auto& [id, target] : m_targets) {
    ids.push_back(id);
  }
  return ids;
}

bool UnresolvedAttempts::IsOfEarlierProcess(const TargetId& target,
                                            std::uint64_t started_ms) const {
  const auto found = m_targets.find(target);
  return found != m_targets.end() &&
         std::ranges::any_of(found->second.attempts, [&](const Held& held) {
           return held.attempt.target_started_ms != started_ms;
         });
}

std::optional<TimePoint> UnresolvedAttempts::CheckingSince(
    const TargetId& target) const {
  const auto found = m_targets.find(target);
  return found == m_targets.end() ? std::nullopt : found->second.checking_since;
}

bool UnresolvedAttempts::Add(const UnresolvedAttempt& attempt, TimePoint now) {
  if (m_size >= kMaxAttempts) {
    return false;
  }
  const bool is_urgent = attempt.closed_by_target || attempt.probe;
  const TimePoint check_at =
      std::max(attempt.due, now) + (is_urgent ? Duration::zero() : kCheckDelay);
  m_targets[attempt.target].attempts.push_back({attempt, check_at});
  ++m_size;
  Rearm(attempt.target);
  return true;
}

template <typename Predicate>
UnresolvedAttempts::Attempts UnresolvedAttempts::Take(const TargetId& target,
                                                      Predicate matches) {
  Attempts taken;
  const auto found = m_targets.find(target);
  if (found == m_targets.end()) {
    return taken;
  }
  std::erase_if(found->second.attempts, [&](const Held& held) {
    if (!matches(held)) {
      return false;
    }
    taken.push_back(held.attempt);
    return true;
  });
  m_size -= taken.size();
  Rearm(target);
  return taken;
}

UnresolvedAttempts::Attempts UnresolvedAttempts::OnAnswered(
    const TargetId& target,
    TimePoint sent) {
  return Take(target,
              [&](const Held& held) { return held.attempt.due <= sent; });
}

UnresolvedAttempts::Attempts UnresolvedAttempts::OnTargetGone(
    const TargetId& target) {
  return Take(target, [](const Held&) { return true; });
}

UnresolvedAttempts::Attempts UnresolvedAttempts::OnChecked(
    const TargetId& target,
    TargetCheck result,
    TimePoint now) {
  const auto found = m_targets.find(target);
  if (found == m_targets.end() || !found->second.checking_since) {
    return {};
  }
  const TimePoint since = *std::exchange(found->second.checking_since, {});
  Duration pause = kCheckPause;
  if (result == TargetCheck::kReset) {
    pause = found->second.reset_pause;
    found->second.reset_pause = std::min(2 * pause, kMaxCheckPause);
  }
  for (Held& held : found->second.attempts) {
    if (result != TargetCheck::kReachable && !held.check_at) {
      held.check_at = now + pause;
    }
  }
  return Take(target, [&](const Held& held) {
    return result == TargetCheck::kReachable && held.attempt.closed_by_target &&
           held.attempt.due <= since;
  });
}

UnresolvedAttempts::Due UnresolvedAttempts::TakeDue(TimePoint now) {
  Due due;
  while (const auto id = m_timers.TakeDue(now)) {
    Attempts expired = Take(*id, [&](const Held& held) {
      return now >= held.attempt.due + kRetention;
    });
    std::ranges::move(expired, std::back_inserter(due.expired));
    const auto found = m_targets.find(*id);
    if (found == m_targets.end()) {
      continue;
    }
    Target& target = found->second;
    for (Held& held : target.attempts) {
      // A check that began before the attempt ended says nothing of it.
      if (held.check_at && *held.check_at <= now &&
          target.checking_since.value_or(now) == now) {
        held.check_at.reset();
        target.checking_since = now;
      }
    }
    if (target.checking_since == now) {
      due.to_check.push_back(*id);
    }
    Rearm(*id);
  }
  return due;
}

void UnresolvedAttempts::Rearm(const TargetId& id) {
  const auto found = m_targets.find(id);
  if (found == m_targets.end() || found->second.attempts.empty()) {
    if (found != m_targets.end()) {
      m_targets.erase(found);
    }
    m_timers.Remove(id);
    return;
  }
  const bool checking = found->second.checking_since.has_value();
  TimePoint next = TimePoint::max();
  for (const Held& held : found->second.attempts) {
    const TimePoint expiry = held.attempt.due + kRetention;
    next = std::min(next, checking ? expiry : held.check_at.value_or(expiry));
  }
  m_timers.Set(id, next);
}

}  // namespace jacinthdeck
