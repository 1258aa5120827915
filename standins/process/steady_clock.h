// The machine's monotonic clock.
#ifndef JACINTHDECK_STANDINS_PROCESS_STEADY_CLOCK_H_
#define JACINTHDECK_STANDINS_PROCESS_STEADY_CLOCK_H_

#include <chrono>

#include "jacinthdeck/core/clock.h"

namespace jacinthdeck::standins {

/*! \brief Reads std::chrono::steady_clock. */
class SteadyClock final : public Clock {
 public:
  [[nodiscard]] TimePoint Now() const noexcept override {
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(since));
  }
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_PROCESS_STEADY_CLOCK_H_
