// Tells whether the process gets too little processor for its work.
#ifndef JACINTHDECK_ENTRY_LOOP_LAG_H_
#define JACINTHDECK_ENTRY_LOOP_LAG_H_

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/routing/decaying_average.h"

namespace jacinthdeck {

/**
 * \brief Watches how late a regular timer fires.
 *
 * A host whose processor is the bottleneck answers everything late, and looks
 * to its callers like slow targets. Its timers are late by the work that waits
 * in the loop. The verdict changes slowly, since each change is told to all
 * hosts.
 */
class LoopLag {
 public:
  //! Mean lateness from which the host is busy: a tenth of a usual objective.
  static constexpr Duration kBusyAbove = std::chrono::milliseconds(12);
  //! Mean lateness below which it is no longer.
  static constexpr Duration kFreeBelow = std::chrono::milliseconds(3);
  //! A verdict stands at least this long.
  static constexpr Duration kHold = std::chrono::seconds(5);

  [[nodiscard]] bool busy() const noexcept { return m_busy; }

  /**
   * \brief Takes one firing of the timer.
   * \return True if the verdict changed.
   */
  bool Add(Duration late, TimePoint now) noexcept {
    m_late.Add(static_cast<double>(late.count()));
    const double mean = m_late.value();
    const bool turn = m_busy ? mean < static_cast<double>(kFreeBelow.count())
                             : mean > static_cast<double>(kBusyAbove.count());
    if (!turn || now - m_since < kHold) {
      return false;
    }
    m_busy = !m_busy;
    m_since = now;
    return true;
  }

 private:
  //! Firings that the mean remembers: two seconds of ticks.
  static constexpr std::uint32_t kMemory = 20;

  DecayingAverage m_late{kMemory};
  bool m_busy = false;
  TimePoint m_since;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_LOOP_LAG_H_
