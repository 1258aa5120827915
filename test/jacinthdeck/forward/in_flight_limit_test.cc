// Tests of a host's share of a target.
#include "jacinthdeck/forward/in_flight_limit.h"

#include <boost/test/unit_test.hpp>

#include "support/forward_cases.h"
#include "support/forward_model.h"

namespace jacinthdeck {

BOOST_AUTO_TEST_SUITE(InFlightLimitTest)

BOOST_AUTO_TEST_CASE(MaxInFlight_FewHosts_FourRequestsPerSlotAreShared) {
  BOOST_TEST(MaxInFlight({.connections = 10, .hosts = 6}, 3) == 2U);
  BOOST_TEST(MaxInFlight({.connections = 10, .hosts = 4}, 6) == 6U);
}

BOOST_AUTO_TEST_CASE(MaxInFlight_ManyHosts_AllowsTwo) {
  BOOST_TEST(MaxInFlight({.connections = 5, .hosts = 58}, 4) == 2U);
}

BOOST_AUTO_TEST_CASE(MaxInFlight_FewConnections_LimitsToConnections) {
  BOOST_TEST(MaxInFlight({.connections = 1, .hosts = 58}, 4) == 1U);
  BOOST_TEST(MaxInFlight({.connections = 3, .hosts = 1}, 4) == 3U);
}

BOOST_AUTO_TEST_CASE(MaxInFlight_NothingKnown_AllowsOne) {
  BOOST_TEST(MaxInFlight({.connections = 0, .hosts = 0}, 0) == 1U);
}

// Callers press with three times what the targets can do. Bounded by
// connections alone, hosts filled the targets' queues, and the answers in time
// were 60.9% of the calls; the slots could have served a third of the shards'
// work in full, and partial answers stretch that. Half of the calls and a few
// percent more must be answered in time, and the rest refused, not late.
BOOST_AUTO_TEST_CASE(MaxInFlight_LoadIsThreeTimesCapacity_FewAnswersAreLate) {
  constexpr std::uint64_t kSeeds = 4;
  const auto result = bench::RunSeeds(bench::AboveCapacity(), kSeeds);
  const auto calls = static_cast<double>(result.calls);
  BOOST_TEST(static_cast<double>(result.late) <= 0.02 * calls);
  BOOST_TEST(static_cast<double>(result.in_time) >= 0.55 * calls);
  BOOST_TEST(result.budget_used <= 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
