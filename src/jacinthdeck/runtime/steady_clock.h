// The runtime's clock in a running daemon.
#ifndef JACINTHDECK_RUNTIME_STEADY_CLOCK_H_
#define JACINTHDECK_RUNTIME_STEADY_CLOCK_H_

#include <chrono>

#include "jacinthdeck/core/clock.h"

namespace jacinthdeck {

/*! \brief The machine's monotonic clock; it goes on while the process is
 * paused. */
class SteadyClock final : public Clock {
 public:
  [[nodiscard]] TimePoint Now() const noexcept override {
    const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(since_boot));
  }
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_STEADY_CLOCK_H_
