// Interface of the clock that the runtime reads; tests use ManualClock instead.
#ifndef JACINTHDECK_CORE_CLOCK_H_
#define JACINTHDECK_CORE_CLOCK_H_

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Monotonic clock. */
class Clock {
 public:
  virtual ~Clock() = default;

  /**
   * \brief Reads the clock.
   * \return The current time; never earlier than a time returned before.
   */
  [[nodiscard]] virtual TimePoint Now() const noexcept = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_CLOCK_H_
