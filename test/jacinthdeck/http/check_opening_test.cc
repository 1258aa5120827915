// Tests of what the result of opening a connection says of its target.
#include "jacinthdeck/http/check_opening.h"

#include <boost/asio/error.hpp>
#include <boost/test/unit_test.hpp>

namespace jacinthdeck {

BOOST_AUTO_TEST_SUITE(CheckOpeningTest)

BOOST_AUTO_TEST_CASE(Opening_Succeeds_IsReachable) {
  BOOST_TEST((CheckOpening({}) == TargetCheck::kReachable));
}

BOOST_AUTO_TEST_CASE(Opening_IsRefused_IsUnreachable) {
  BOOST_TEST((CheckOpening(asio::error::connection_refused) ==
              TargetCheck::kUnreachable));
}

// Guards against a target that is taken for ended since it resets connections
// beyond its limit, or since a proxy in front of it does.
BOOST_AUTO_TEST_CASE(Opening_IsReset_IsNotUnreachable) {
  BOOST_TEST(
      (CheckOpening(asio::error::connection_reset) == TargetCheck::kReset));
}

BOOST_AUTO_TEST_CASE(Opening_IsNotAnswered_TimedOut) {
  BOOST_TEST((CheckOpening(asio::error::timed_out) == TargetCheck::kTimedOut));
  BOOST_TEST(
      (CheckOpening(asio::error::host_unreachable) == TargetCheck::kTimedOut));
}

BOOST_AUTO_TEST_CASE(Opening_FailsAtThisHost_IsUnknown) {
  BOOST_TEST(
      (CheckOpening(asio::error::no_descriptors) == TargetCheck::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
