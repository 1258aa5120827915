// Tests of the highest host count within a window.
#include "jacinthdeck/routing/host_count_window.h"

#include <boost/test/unit_test.hpp>

namespace jacinthdeck {

struct HostCountWindowFixture {
  [[nodiscard]] static TimePoint At(int second) {
    return TimePoint() + std::chrono::seconds(second);
  }

  HostCountWindow window{std::chrono::seconds(60), 1};
};

BOOST_FIXTURE_TEST_SUITE(HostCountWindowTest, HostCountWindowFixture)

// Two of eight hosts are partitioned from this one, but not from the targets.
// If the lower count took effect at once, the shares would grow beyond the
// targets' connection limits, and connections would be refused at random.
BOOST_AUTO_TEST_CASE(Highest_CountFalls_StaysHighForTheWindow) {
  window.Add(8, At(0));
  window.Add(8, At(30));
  window.Add(6, At(40));
  BOOST_TEST(window.Highest(At(99)) == 8U);
  BOOST_TEST(window.Highest(At(101)) == 6U);
}

BOOST_AUTO_TEST_CASE(Highest_CountRises_TakesEffectAtOnce) {
  window.Add(6, At(0));
  window.Add(8, At(1));
  BOOST_TEST(window.Highest(At(1)) == 8U);
}

BOOST_AUTO_TEST_CASE(Highest_NoNewCounts_KeepsTheLastCount) {
  window.Add(6, At(0));
  BOOST_TEST(window.Highest(At(1000)) == 6U);
}

BOOST_AUTO_TEST_CASE(Highest_CountBelowExpected_IsTheExpectedCount) {
  HostCountWindow expecting(std::chrono::seconds(60), 8);
  expecting.Add(6, At(0));
  BOOST_TEST(expecting.Highest(At(1000)) == 8U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
