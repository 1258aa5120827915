// The runtime's clock in a running daemon.
#ifndef JACINTHDECK_CORE_BOOTTIME_CLOCK_H_
#define JACINTHDECK_CORE_BOOTTIME_CLOCK_H_

#include <chrono>
#include <ctime>

#include "jacinthdeck/core/clock.h"

namespace jacinthdeck {

/**
 * \brief The machine's time since its start, also while the process or the
 * whole machine is paused.
 *
 * std::chrono::steady_clock stands still while a machine is suspended: a node
 * that woke from that would take its lapsed serving lease for a fresh one and
 * answer by a revision that is gone.
 */
class BoottimeClock final : public Clock {
 public:
  [[nodiscard]] TimePoint Now() const noexcept override {
    timespec since_start{};
    clock_gettime(CLOCK_BOOTTIME, &since_start);
    return TimePoint(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(since_start.tv_sec) +
        std::chrono::nanoseconds(since_start.tv_nsec)));
  }
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_BOOTTIME_CLOCK_H_
