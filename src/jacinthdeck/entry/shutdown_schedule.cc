// The moments count back from the end of the grace period; in a short one they
// move closer together.
#include "jacinthdeck/entry/shutdown_schedule.h"

#include <algorithm>
#include <chrono>

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! Time before the end of the grace period at which the ports close. Callers
//! cache a directory answer for its time to live, and some for longer.
constexpr Duration kPortsCloseBefore = milliseconds(900);
//! Time for requests that were in transit when the ports closed.
constexpr Duration kSettleTime = milliseconds(250);
//! Time before the end of the grace period at which calls are answered: enough
//! to write the answers on a busy host. Callers may expect a request that is
//! under way to have until the last sixth of the grace period.
constexpr Duration kLastAnswerBefore = milliseconds(500);
constexpr int kLastAnswerDivisor = 6;
//! Time by which the process ends before it is killed.
constexpr Duration kEndBefore = milliseconds(100);
constexpr int kEndDivisor = 30;

}  // namespace

ShutdownSchedule MakeShutdownSchedule(TimePoint signal,
                                      Duration grace) noexcept {
  const TimePoint kill_time = signal + std::max(grace, Duration::zero());
  const Duration length = kill_time - signal;
  ShutdownSchedule schedule;
  schedule.end = kill_time - std::min(kEndBefore, length / kEndDivisor);
  schedule.last_answer =
      kill_time - std::min(kLastAnswerBefore, length / kLastAnswerDivisor);
  schedule.ports_close = kill_time - std::min(kPortsCloseBefore, length);
  schedule.idle_close =
      std::min(schedule.ports_close + kSettleTime, schedule.last_answer);
  return schedule;
}

}  // namespace jacinthdeck
