// Moments of an orderly stop.
#ifndef JACINTHDECK_ENTRY_SHUTDOWN_SCHEDULE_H_
#define JACINTHDECK_ENTRY_SHUTDOWN_SCHEDULE_H_

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/**
 * \brief When a stopping host stops taking connections and requests, has
 * answered each call, and ends.
 *
 * Invariant: signal <= ports_close <= idle_close <= last_answer <= end, and end
 * is before signal + grace if the grace period is not zero. No call has its
 * final answer after last_answer, whenever it arrived, so that the process ends
 * by itself, without an open request, before the platform kills it.
 */
struct ShutdownSchedule {
  //! From then on who connects is refused, and tries another host.
  TimePoint ports_close;
  //! From then on a connection without a request is closed. Requests that were
  //! in transit when the ports closed have arrived by then.
  TimePoint idle_close;
  //! When the last calls are answered.
  TimePoint last_answer;
  //! When the process ends, whatever is open.
  TimePoint end;
};

/**
 * \brief Makes the schedule of a stop.
 * \param signal When the signal to stop was handled.
 * \param grace Time from the signal until the platform kills the process.
 */
[[nodiscard]] ShutdownSchedule MakeShutdownSchedule(TimePoint signal,
                                                    Duration grace) noexcept;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_SHUTDOWN_SCHEDULE_H_
