// Tests of the limit on a host's attempts at a target.
#include "jacinthdeck/forward/in_flight_bound.h"

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

// Guards against a target that gets hardly any requests, since the product of
// its slots wraps around.
BOOST_AUTO_TEST_CASE(MaxInFlight_ManySlots_LimitsToConnections) {
  for (const std::uint32_t slots : {1U << 30U, 0xffffffffU}) {
    BOOST_TEST(MaxInFlight({.connections = 30, .hosts = 6}, slots) == 30U);
  }
}

BOOST_AUTO_TEST_CASE(MaxInFlight_NothingKnown_AllowsOne) {
  BOOST_TEST(MaxInFlight({.connections = 0, .hosts = 0}, 0) == 1U);
}

// Guards against full queues at the targets. The load is three times what the
// targets can handle. With a limit by connections alone, hosts fill the queues,
// and 60.9% of the calls are answered in time; the slots can handle a third of
// the work of the shards in full, and partial answers stretch that. At least
// 55% of the calls must be answered in time, and the rest refused rather than
// late.
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
