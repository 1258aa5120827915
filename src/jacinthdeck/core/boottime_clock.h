// Clock of a running daemon.
#ifndef JACINTHDECK_CORE_BOOTTIME_CLOCK_H_
#define JACINTHDECK_CORE_BOOTTIME_CLOCK_H_

#include <chrono>
#include <ctime>

#include "jacinthdeck/core/clock.h"

namespace jacinthdeck {

/**
 * \brief Time since the machine booted, including time in which the process or
 * the whole machine was suspended.
 *
 * std::chrono::steady_clock does not advance while a machine is suspended.
 * After a resume, a host would treat its expired serving lease as valid and
 * answer from an outdated revision. CLOCK_BOOTTIME includes the suspended time.
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
