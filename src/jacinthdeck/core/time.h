// Time as every decision sees it: microseconds on the runtime's clock, never
// the wall clock.
#ifndef JACINTHDECK_CORE_TIME_H_
#define JACINTHDECK_CORE_TIME_H_

#include <chrono>

namespace jacinthdeck {

/*! \brief Length of time, in microseconds. */
using Duration = std::chrono::microseconds;

/*! \brief Tag that keeps runtime time points apart from those of other clocks.
 */
struct RuntimeClockTag {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<RuntimeClockTag, Duration>;
};

/*! \brief Moment on the runtime's clock of one process; not comparable between
 * processes. */
using TimePoint = RuntimeClockTag::time_point;

/**
 * \brief Converts to fractional milliseconds, for logs and reports.
 * \param duration Any length of time.
 * \return The same length in milliseconds.
 */
[[nodiscard]] constexpr double ToMilliseconds(Duration duration) noexcept {
  return static_cast<double>(duration.count()) / 1000.0;
}

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_TIME_H_
