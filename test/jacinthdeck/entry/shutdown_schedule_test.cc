// Tests of the moments of a stop.
#include "jacinthdeck/entry/shutdown_schedule.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

#include "support/printers.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint kSignal = TimePoint(std::chrono::seconds(100));

}  // namespace

BOOST_AUTO_TEST_SUITE(ShutdownScheduleTest)

// Guards against a stop whose steps add up to the whole grace period, so that
// the platform kills the process with requests under way.
BOOST_AUTO_TEST_CASE(Schedule_AnyGracePeriod_StepsAreInOrderAndEndBeforeIt) {
  for (int ms = 1; ms <= 20'000; ++ms) {
    const Duration grace = milliseconds(ms);
    const ShutdownSchedule schedule = MakeShutdownSchedule(kSignal, grace);
    BOOST_REQUIRE((kSignal <= schedule.ports_close));
    BOOST_REQUIRE((schedule.ports_close <= schedule.idle_close));
    BOOST_REQUIRE((schedule.idle_close <= schedule.last_answer));
    BOOST_REQUIRE((schedule.last_answer < schedule.end));
    BOOST_REQUIRE((schedule.end < kSignal + grace));
  }
}

// Guards against a stop that takes time from requests which a target still
// works on.
BOOST_AUTO_TEST_CASE(Schedule_AnyGracePeriod_LastAnswerIsInItsLastSixth) {
  for (int ms = 1; ms <= 20'000; ++ms) {
    const Duration grace = milliseconds(ms);
    const ShutdownSchedule schedule = MakeShutdownSchedule(kSignal, grace);
    BOOST_REQUIRE((schedule.last_answer >= kSignal + grace - grace / 6));
  }
}

BOOST_AUTO_TEST_CASE(Schedule_NoGracePeriod_EndsAtOnce) {
  const ShutdownSchedule schedule =
      MakeShutdownSchedule(kSignal, Duration::zero());
  BOOST_TEST((schedule.ports_close == kSignal));
  BOOST_TEST((schedule.end == kSignal));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
