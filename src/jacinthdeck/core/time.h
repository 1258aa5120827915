// Time types of the runtime: microseconds on its monotonic clock, never the
// wall clock.
#ifndef JACINTHDECK_CORE_TIME_H_
#define JACINTHDECK_CORE_TIME_H_

#include <chrono>

namespace jacinthdeck {

/*! \brief Duration in microseconds. */
using Duration = std::chrono::microseconds;

/*! \brief Clock tag that makes time points of the runtime a type of their own.
 */
struct RuntimeClockTag {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<RuntimeClockTag, Duration>;
};

/*! \brief Time point on the runtime's clock of one process; not comparable
 * between processes. */
using TimePoint = RuntimeClockTag::time_point;

/**
 * \brief Converts a duration to fractional milliseconds, for logs and reports.
 * \param duration Duration to convert.
 * \return Number of milliseconds.
 */
[[nodiscard]] constexpr double ToMilliseconds(Duration duration) noexcept {
  return static_cast<double>(duration.count()) / 1000.0;
}

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_TIME_H_
