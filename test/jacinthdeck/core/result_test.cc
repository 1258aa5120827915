// Tests of Capture().
#include "jacinthdeck/core/result.h"

#include <boost/test/unit_test.hpp>

namespace jacinthdeck {

BOOST_AUTO_TEST_SUITE(ResultTest)

BOOST_AUTO_TEST_CASE(Capture_SuccessfulOperation_HoldsTheValue) {
  const auto captured = Capture([]() -> Result<int> { return 3; });
  BOOST_REQUIRE(captured.index() == 0);
  BOOST_TEST(std::get<0>(captured) == 3);
}

BOOST_AUTO_TEST_CASE(Capture_FailedOperation_HoldsTheError) {
  const auto captured = Capture([]() -> Result<int> {
    return Fail(ErrorCode::kConflict, "revision", "stale");
  });
  BOOST_REQUIRE(captured.index() == 1);
  BOOST_TEST((std::get<1>(captured) ==
              Error{ErrorCode::kConflict, "revision", "stale"}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
