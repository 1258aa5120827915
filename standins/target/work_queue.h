// The slots of a target and the requests that wait for one.
#ifndef JACINTHDECK_STANDINS_TARGET_WORK_QUEUE_H_
#define JACINTHDECK_STANDINS_TARGET_WORK_QUEUE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck::standins {

/*! \brief How taking a slot, or working in one, ended. */
enum class WorkOutcome {
  kDone,
  kQueueFull,
  kDeadlineExceeded,
  kCancelled,
  kCrashed
};

/*! \brief Requests in work and waiting now. */
struct WorkCounts {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

/**
 * \brief Bounds the work of a target; work is a timed wait that a cancellation
 * or a crash cuts short.
 */
class WorkQueue {
 public:
  using SteadyTimePoint = std::chrono::steady_clock::time_point;

  explicit WorkQueue(std::uint32_t slots) noexcept : m_slots(slots) {}

  [[nodiscard]] WorkCounts counts() const;

  /**
   * \brief Waits for a slot.
   * \param attempt Attempt that is to run.
   * \param queue_limit Requests that may wait at once.
   * \param deadline Longest wait.
   * \return kDone once the slot is taken; ReleaseSlot() gives it back.
   */
  [[nodiscard]] WorkOutcome AcquireSlot(const std::string& attempt,
                                        std::uint32_t queue_limit,
                                        SteadyTimePoint deadline);

  /*! \brief Works in a slot until a moment, a deadline, a cancellation or a
   * crash, whichever comes first. */
  [[nodiscard]] WorkOutcome Work(const std::string& attempt,
                                 SteadyTimePoint until,
                                 SteadyTimePoint deadline);

  /*! \brief Gives a slot back. */
  void ReleaseSlot(const std::string& attempt);

  /*! \brief Ends an attempt early, whether it works or waits. */
  void Cancel(const std::string& attempt);

  /*! \brief Ends all attempts. */
  void Crash();

 private:
  [[nodiscard]] bool IsStopped(const std::string& attempt,
                               std::uint64_t crashes,
                               WorkOutcome& outcome) const;

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::uint32_t m_slots;
  WorkCounts m_counts;
  std::set<std::string> m_cancelled;
  //! Attempts that wait or work; only these can be cancelled.
  std::multiset<std::string> m_active;
  std::uint64_t m_crashes = 0;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_TARGET_WORK_QUEUE_H_
