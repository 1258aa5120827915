// Slots, bounded waiting, cancellation and crashes.
#include "target/work_queue.h"

#include <algorithm>

namespace jacinthdeck::standins {

WorkCounts WorkQueue::counts() const {
  const std::scoped_lock lock(m_mutex);
  return m_counts;
}

WorkOutcome WorkQueue::AcquireSlot(const std::string& attempt,
                                   std::uint32_t queue_limit,
                                   SteadyTimePoint deadline) {
  std::unique_lock lock(m_mutex);
  if (m_counts.running >= m_slots && m_counts.waiting >= queue_limit) {
    return WorkOutcome::kQueueFull;
  }
  m_active.insert(attempt);
  ++m_counts.waiting;
  WorkOutcome outcome = WorkOutcome::kDone;
  const std::uint64_t crashes = m_crashes;
  const bool woken = m_changed.wait_until(lock, deadline, [&] {
    return IsStopped(attempt, crashes, outcome) || m_counts.running < m_slots;
  });
  --m_counts.waiting;
  if (!woken) {
    outcome = WorkOutcome::kDeadlineExceeded;
  }
  if (outcome == WorkOutcome::kDone) {
    ++m_counts.running;
    return outcome;
  }
  m_active.erase(m_active.find(attempt));
  m_cancelled.erase(attempt);
  return outcome;
}

WorkOutcome WorkQueue::Work(const std::string& attempt,
                            SteadyTimePoint until,
                            SteadyTimePoint deadline) {
  std::unique_lock lock(m_mutex);
  WorkOutcome outcome = WorkOutcome::kDone;
  const std::uint64_t crashes = m_crashes;
  m_changed.wait_until(lock, std::min(until, deadline),
                       [&] { return IsStopped(attempt, crashes, outcome); });
  return outcome == WorkOutcome::kDone && deadline < until
             ? WorkOutcome::kDeadlineExceeded
             : outcome;
}

void WorkQueue::ReleaseSlot(const std::string& attempt) {
  const std::scoped_lock lock(m_mutex);
  --m_counts.running;
  m_active.erase(m_active.find(attempt));
  m_cancelled.erase(attempt);
  m_changed.notify_all();
}

void WorkQueue::Cancel(const std::string& attempt) {
  const std::scoped_lock lock(m_mutex);
  if (m_active.contains(attempt)) {
    m_cancelled.insert(attempt);
    m_changed.notify_all();
  }
}

void WorkQueue::Crash() {
  const std::scoped_lock lock(m_mutex);
  ++m_crashes;
  m_changed.notify_all();
}

bool WorkQueue::IsStopped(const std::string& attempt,
                          std::uint64_t crashes,
                          WorkOutcome& outcome) const {
  if (crashes != m_crashes) {
    outcome = WorkOutcome::kCrashed;
  } else if (m_cancelled.contains(attempt)) {
    outcome = WorkOutcome::kCancelled;
  }
  return outcome != WorkOutcome::kDone;
}

}  // namespace jacinthdeck::standins
