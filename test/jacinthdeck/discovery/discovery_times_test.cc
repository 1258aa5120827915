// Tests of the timeouts that bound the delay of a change.
#include "jacinthdeck/discovery/discovery_times.h"

#include <boost/test/unit_test.hpp>

#include "support/printers.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

struct DiscoveryTimesFixture {
  //! Longest pause before a lost watch is started again, and its answer.
  static constexpr Duration kNewWatch = milliseconds(300);
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(DiscoveryTimesTest, DiscoveryTimesFixture)

// Guards against timeouts whose sum is longer than a leaving target serves.
BOOST_AUTO_TEST_CASE(Times_AnyBound_SumStaysWithinIt) {
  for (int ms = 2000; ms <= 20'000; ms += 50) {
    const Duration bound = milliseconds(ms);
    const DiscoveryTimes times = DiscoveryTimes::ForBound(bound);
    BOOST_TEST((times.MaxDelay() <= bound), "bound of " << ms << " ms");
    BOOST_TEST((times.watch_timeout() + kNewWatch <= bound));
    BOOST_TEST((times.watch_timeout() <= times.max_content_age));
  }
}

// Guards against a store that is called more often than the bound requires.
BOOST_AUTO_TEST_CASE(Times_LongBound_WatchWaitsLonger) {
  const DiscoveryTimes usual = DiscoveryTimes::ForBound(milliseconds(3000));
  const DiscoveryTimes longer = DiscoveryTimes::ForBound(milliseconds(5000));
  BOOST_TEST((usual.watch_wait == milliseconds(1000)));
  BOOST_TEST((longer.watch_wait == milliseconds(1500)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
