// Clock that only moves when it is advanced, for tests, scenarios and
// benchmarks.
#ifndef JACINTHDECK_CORE_MANUAL_CLOCK_H_
#define JACINTHDECK_CORE_MANUAL_CLOCK_H_

#include "jacinthdeck/core/clock.h"

namespace jacinthdeck {

/*! \brief Clock that its owner advances explicitly. */
class ManualClock final : public Clock {
 public:
  [[nodiscard]] TimePoint Now() const noexcept override { return m_now; }

  /**
   * \brief Moves the clock forward.
   * \param step Time to add; negative values are ignored to keep the clock
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
