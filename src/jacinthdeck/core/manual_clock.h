// A clock that stands still until it is told to advance, for tests, scenarios
// and benches.
#ifndef JACINTHDECK_CORE_MANUAL_CLOCK_H_
#define JACINTHDECK_CORE_MANUAL_CLOCK_H_

#include "jacinthdeck/core/clock.h"

namespace jacinthdeck {

/*! \brief Clock under the control of its owner. */
class ManualClock final : public Clock {
 public:
  [[nodiscard]] TimePoint Now() const noexcept override { return m_now; }

  /**
   * \brief Moves the clock forward.
   * \param step Time to add; negative values are ignored, so the clock stays
   * monotonic.
   */
  void Advance(Duration step) noexcept {
    if (step > Duration::zero()) {
      m_now += step;
    }
  }

 private:
  TimePoint m_now{};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_MANUAL_CLOCK_H_
