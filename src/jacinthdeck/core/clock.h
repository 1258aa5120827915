// Source of time that the runtime passes in; tests replace it by ManualClock.
#ifndef JACINTHDECK_CORE_CLOCK_H_
#define JACINTHDECK_CORE_CLOCK_H_

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief A monotonic clock. */
class Clock {
 public:
  virtual ~Clock() = default;

  /**
   * \brief Reads the clock.
   * \return The present moment; never earlier than any moment returned before.
   */
  [[nodiscard]] virtual TimePoint Now() const noexcept = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_CLOCK_H_
