// Targets that refuse connections, and when they are probed again.
#ifndef JACINTHDECK_FORWARD_UNREACHABLE_TARGETS_H_
#define JACINTHDECK_FORWARD_UNREACHABLE_TARGETS_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/core/timer_queue.h"

namespace jacinthdeck {

/**
 * \brief Schedules the probes of targets that refused a connection.
 *
 * Such a target gets no requests until a connection to it opens, and each host
 * probes it at growing intervals. Otherwise every call would try it again:
 * thousands of refused connections per second, and calls that cannot be served
 * would be sent to the other shards in vain.
 */
class UnreachableTargets {
 public:
  //! Interval from a refusal to the first probe, doubled with each probe. Most
  //! targets that are back have a new registry entry, which needs no probe, so
  //! the interval may grow to a second.
  static constexpr Duration kFirstInterval = std::chrono::milliseconds(100);
  static constexpr Duration kMaxInterval = std::chrono::seconds(1);

  [[nodiscard]] std::size_t size() const noexcept { return m_targets.size(); }
  [[nodiscard]] bool Contains(const TargetId& target) const {
    return m_targets.contains(target);
  }
  /*! \brief Returns all targets. */
  [[nodiscard]] std::vector<TargetId> Targets() const;
  /*! \brief Returns when TakeDue() has something to do. */
  [[nodiscard]] std::optional<TimePoint> NextDue() const {
    return m_timers.Next();
  }
  /*! \brief Returns when the result of the next probe of a target is expected,
   * by the duration of its last refusal; empty if it is not in the table. */
  [[nodiscard]] std::optional<TimePoint> NextResult(const TargetId& target,
                                                    TimePoint now) const;

  /**
   * \brief Adds a target that refused a connection.
   * \param took How long the refusal took to arrive.
   * \return False if it is in the table already, which is then unchanged.
   */
  bool Add(const TargetId& target, Duration took, TimePoint now);

  /*! \brief Removes a target; returns false if it is not in the table. */
  bool Remove(const TargetId& target);

  /*! \brief Returns the targets to be probed now; each has one probe at a
   * time, whose end must be reported. */
  [[nodiscard]] std::vector<TargetId> TakeDue(TimePoint now);

  /*! \brief Records a probe that opened no connection, and schedules the next
   * one. Ignored if no probe of the target is in progress. */
  void OnProbeFailed(const TargetId& target, TimePoint now);

 private:
  struct Target {
    //! Interval before the next probe, or before the one in progress.
    Duration interval{};
    //! Duration of the last refusal.
    Duration took{};
    //! When the next probe starts, or when the one in progress started.
    TimePoint probe_at;
    bool probing = false;
  };

  std::map<TargetId, Target> m_targets;
  //! One timer for each element of m_targets that is not being probed.
  TimerQueue<TargetId> m_timers;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_UNREACHABLE_TARGETS_H_
