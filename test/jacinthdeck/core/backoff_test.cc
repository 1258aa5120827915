// Tests of the exponential backoff.
#include "jacinthdeck/core/backoff.h"

#include <boost/test/unit_test.hpp>

namespace jacinthdeck {

struct BackoffFixture {
  Random random{1};
  Backoff backoff{std::chrono::milliseconds(100), std::chrono::seconds(5)};
};

BOOST_FIXTURE_TEST_SUITE(BackoffTest, BackoffFixture)

// When the store is unavailable, all hosts retry. Without jitter they would
// send a burst of requests at each doubling and keep the store overloaded.
// Delays must be spread over the window and stay below the limit.
BOOST_AUTO_TEST_CASE(OnFailure_RepeatedFailures_DelaysAreJitteredAndBounded) {
  Duration longest{};
  for (int i = 0; i < 1000; ++i) {
    const Duration delay = backoff.OnFailure(random);
    BOOST_TEST((delay >= std::chrono::milliseconds(1)));
    BOOST_TEST((delay < std::chrono::seconds(5)));
    longest = std::max(longest, delay);
  }
  BOOST_TEST((longest > std::chrono::seconds(4)));
}

BOOST_AUTO_TEST_CASE(OnFailure_AfterSuccess_DrawsFromTheFirstWindow) {
  for (int i = 0; i < 10; ++i) {
    (void)backoff.OnFailure(random);
  }
  backoff.OnSuccess();
  BOOST_TEST((backoff.OnFailure(random) < std::chrono::milliseconds(100)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
