// Tests of the weight of reported load.
#include "jacinthdeck/routing/load_hint.h"

#include <boost/test/unit_test.hpp>
#include <limits>

namespace jacinthdeck {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(LoadHintTest)

BOOST_AUTO_TEST_CASE(Value_InvalidReports_IsBetweenZeroAndOne) {
  LoadHint hint;
  for (const double load : {-5.0, 1e9, std::numeric_limits<double>::quiet_NaN(),
                            std::numeric_limits<double>::infinity()}) {
    hint.Add(load, TimePoint());
    const double value = hint.Value(TimePoint(), milliseconds(10));
    BOOST_TEST(value >= 0);
    BOOST_TEST(value <= 1);
  }
}

BOOST_AUTO_TEST_CASE(Value_OldReport_IsZero) {
  LoadHint hint;
  hint.Add(1, TimePoint());
  BOOST_TEST(hint.Value(TimePoint() + milliseconds(5), milliseconds(10)) ==
             0.5);
  BOOST_TEST(hint.Value(TimePoint() + milliseconds(11), milliseconds(10)) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
