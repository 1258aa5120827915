// Slots, waiting and early ends.
#include "target/work_queue.h"

#include <algorithm>

namespace jacinthdeck::standins {

WorkCounts WorkQueue::counts() const {
  const std::scoped_lock lock(m_mutex);
  return m_counts;
}

WorkEnd WorkQueue::Take(const std::string& attempt,
                        std::uint32_t queue,
                        Moment deadline) {
  std::unique_lock lock(m_mutex);
  if (m_counts.running >= m_slots && m_counts.waiting >= queue) {
    return WorkEnd::kFull;
  }
  m_open.insert(attempt);
  ++m_counts.waiting;
  WorkEnd end = WorkEnd::kDone;
  const std::uint64_t crashes = m_crashes;
  const bool woken = m_changed.wait_until(lock, deadline, [&] {
    return Stopped(attempt, crashes, end) || m_counts.running < m_slots;
  });
  --m_counts.waiting;
  if (!woken) {
    end = WorkEnd::kDeadline;
  }
  if (end == WorkEnd::kDone) {
    ++m_counts.running;
    return end;
  }
  m_open.erase(m_open.find(attempt));
  m_cancelled.erase(attempt);
  return end;
}

WorkEnd WorkQueue::Work(const std::string& attempt,
                        Moment until,
                        Moment deadline) {
  std::unique_lock lock(m_mutex);
  WorkEnd end = WorkEnd::kDone;
  const std::uint64_t crashes = m_crashes;
  m_changed.wait_until(lock, std::min(until, deadline),
                       [&] { return Stopped(attempt, crashes, end); });
  return end == WorkEnd::kDone && deadline < until ? WorkEnd::kDeadline : end;
}

void WorkQueue::Release(const std::string& attempt) {
  const std::scoped_lock lock(m_mutex);
  --m_counts.running;
  m_open.erase(m_open.find(attempt));
  m_cancelled.erase(attempt);
  m_changed.notify_all();
}

void WorkQueue::Cancel(const std::string& attempt) {
  const std::scoped_lock lock(m_mutex);
  if (m_open.contains(attempt)) {
    m_cancelled.insert(attempt);
    m_changed.notify_all();
  }
}

void WorkQueue::Crash() {
  const std::scoped_lock lock(m_mutex);
  ++m_crashes;
  m_changed.notify_all();
}

bool WorkQueue::Stopped(const std::string& attempt,
                        std::uint64_t crashes,
                        WorkEnd& end) const {
  if (crashes != m_crashes) {
    end = WorkEnd::kCrashed;
  } else if (m_cancelled.contains(attempt)) {
    end = WorkEnd::kCancelled;
  }
  return end != WorkEnd::kDone;
}

}  // namespace jacinthdeck::standins
