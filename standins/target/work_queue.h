// Slots of a target and the requests that wait for one.
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

/*! \brief Result of waiting for a slot or of working in one. */
enum class WorkOutcome {
  kDone,
  kQueueFull,
  kDeadlineExceeded,
  kCancelled,
  kCrashed
};

/*! \brief Requests that hold a slot and requests that wait for one. */
struct WorkCounts {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

/**
 * \brief Limits the concurrent requests of a target. Work is a timed wait that
 * a cancellation or a crash ends early. Safe to use from many threads.
 */
class WorkQueue {
 public:
  using SteadyTimePoint = std::chrono::steady_clock::time_point;

  explicit WorkQueue(std::uint32_t slots) noexcept : m_slots(slots) {}

  [[nodiscard]] WorkCounts counts() const;

  /**
   * \brief Waits for a slot.
   * \param attempt Attempt that is to run.
   * \param queue_limit Maximum number of requests that wait at once; when it is
   * reached and no slot is free the result is kQueueFull.
   * \param deadline End of the wait.
   * \return kDone once the slot is taken; ReleaseSlot() gives it back. After
   * any other result no slot is held.
   */
  [[nodiscard]] WorkOutcome AcquireSlot(const std::string& attempt,
                                        std::uint32_t queue_limit,
                                        SteadyTimePoint deadline);

  /**
   * \brief Works in the slot of an attempt until the work is done, the deadline
   * passes, the attempt is cancelled or the target crashes, whichever comes
   * first. The slot stays taken.
   * \param attempt Attempt that holds the slot.
   * \param until Time at which the work is done.
   * \param deadline Deadline of the attempt.
   */
  [[nodiscard]] WorkOutcome Work(const std::string& attempt,
                                 SteadyTimePoint until,
                                 SteadyTimePoint deadline);

  /*! \brief Gives back the slot that an attempt holds. */
  void ReleaseSlot(const std::string& attempt);

  /*! \brief Ends an attempt early, whether it works or waits for a slot; does
   * nothing for an unknown one. */
  void Cancel(const std::string& attempt);

  /*! \brief Ends all attempts that work or wait, with kCrashed. */
  void Crash();

 private:
  //! Returns whether an attempt is cancelled, or the target has crashed since
  //! m_crashes was `crashes`; if so, sets the outcome.
  [[nodiscard]] bool IsStopped(const std::string& attempt,
                               std::uint64_t crashes,
                               WorkOutcome& outcome) const;

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::uint32_t m_slots;
  WorkCounts m_counts;
  std::set<std::string> m_cancelled;
  //! Attempts that wait or work. Only these can be cancelled, so that the
  //! cancellation of an unknown attempt does not end a later one of that name.
  std::multiset<std::string> m_active;
  std::uint64_t m_crashes = 0;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_TARGET_WORK_QUEUE_H_
