// Detects that the process gets too little processor time for its work.
#ifndef JACINTHDECK_ENTRY_LOOP_LAG_H_
#define JACINTHDECK_ENTRY_LOOP_LAG_H_

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/routing/decaying_average.h"

namespace jacinthdeck {

/**
 * \brief Measures how late a periodic timer fires, and derives whether the host
 * is busy.
 *
 * A host whose processor is the bottleneck answers everything late, which to
 * its callers looks like slow targets. Its timers are late by the work that is
 * queued in the loop. The busy state changes slowly, because each change is
 * sent to all hosts.
 */
class LoopLag {
 public:
  //! Mean delay above which the host becomes busy: a tenth of a usual latency
  //! objective.
  static constexpr Duration kBusyAbove = std::chrono::milliseconds(12);
  //! Mean delay below which the host is no longer busy.
  static constexpr Duration kFreeBelow = std::chrono::milliseconds(3);
  //! Minimum time between two changes of the busy state.
  static constexpr Duration kMinHold = std::chrono::seconds(5);

  [[nodiscard]] bool busy() const noexcept { return m_busy; }

  /**
   * \brief Adds one expiry of the timer.
   * \param delay Time between the due and the actual expiry.
   * \return True if the busy state changed.
   */
  bool Add(Duration delay, TimePoint now) noexcept {
    m_mean_delay.Add(static_cast<double>(delay.count()));
    const double mean = m_mean_delay.value();
    const bool crossed = m_busy
                             ? mean < static_cast<double>(kFreeBelow.count())
                             : mean > static_cast<double>(kBusyAbove.count());
    if (!crossed || now - m_changed_at < kMinHold) {
      return false;
    }
    m_busy = !m_busy;
    m_changed_at = now;
    return true;
  }

 private:
  //! Number of expiries that the mean covers: two seconds of ticks.
  static constexpr std::uint32_t kMeanWindow = 20;

  DecayingAverage m_mean_delay{kMeanWindow};
  bool m_busy = false;
  TimePoint m_changed_at;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_LOOP_LAG_H_
