// Tests of the adaptive in-flight window.
#include "jacinthdeck/routing/in_flight_window.h"

#include <boost/test/unit_test.hpp>

namespace jacinthdeck {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(InFlightWindowTest)

// A target sheds this host's requests. If the window did not shrink, each shed
// request would be sent again into a full queue. If it fell to zero, no answer
// could ever make it grow again.
BOOST_AUTO_TEST_CASE(Size_AfterSheds_FallsToOneAndNoLower) {
  InFlightWindow window(6);
  TimePoint now{};
  for (int i = 0; i < 50; ++i) {
    now += milliseconds(100);
    window.OnOverload(now);
  }
  BOOST_TEST(window.Size(10) == 1U);
}

// A single host sends to a target with three slots. If its window fell to one
// after sheds, two slots would stay idle while requests wait on the host.
BOOST_AUTO_TEST_CASE(Size_ShedsWithOneHost_StaysAboveTheSlotCount) {
  InFlightWindow window(3);
  window.SetFloor(3, 1);
  TimePoint now{};
  for (int i = 0; i < 50; ++i) {
    now += milliseconds(100);
    window.OnOverload(now);
  }
  BOOST_TEST(window.Size(15) == 4U);
  window.SetFloor(3, 8);
  BOOST_TEST(window.floor() == 1U);
}

BOOST_AUTO_TEST_CASE(Size_ShedsWithinOneInterval_DecreasesOnce) {
  InFlightWindow window(10);
  for (int i = 0; i < 5; ++i) {
    window.OnOverload(TimePoint() + milliseconds(i));
  }
  BOOST_TEST(window.Size(10) == 7U);
}

BOOST_AUTO_TEST_CASE(Size_AnswersWhileFull_GrowsSlowlyToTheShareOnly) {
  InFlightWindow window(2);
  for (int i = 0; i < 80; ++i) {
    window.OnAnswer(4, 4);
  }
  BOOST_TEST(window.Size(4) == 2U);
  for (int i = 0; i < 1000; ++i) {
    window.OnAnswer(4, 4);
  }
  BOOST_TEST(window.Size(4) == 4U);
}

BOOST_AUTO_TEST_CASE(Size_AnswersWhileMostlyIdle_DoesNotGrow) {
  InFlightWindow window(3);
  for (int i = 0; i < 1000; ++i) {
    window.OnAnswer(1, 10);
  }
  BOOST_TEST(window.Size(10) == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
