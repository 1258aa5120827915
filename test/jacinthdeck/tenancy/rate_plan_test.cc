// Tests of how the bound of an account is divided.
#include "jacinthdeck/tenancy/rate_plan.h"

#include <boost/test/unit_test.hpp>

#include "jacinthdeck/core/random.h"

namespace jacinthdeck {

namespace {

//! Most requests that the parts of a plan admit within a window.
[[nodiscard]] double MostAdmitted(const RatePlan& plan, double window) {
  const double late = std::chrono::duration<double>(kGrantLifetime).count();
  return plan.rate * (window + late) + plan.burst + plan.reserve +
         plan.start_reserve + (plan.whole_token ? 0.5 : 0);
}

BOOST_AUTO_TEST_SUITE(RatePlanTest)

// Guards against parts whose sum exceeds the bound.
BOOST_AUTO_TEST_CASE(PlanRate_AnyLimit_PartsStayWithinTheBound) {
  Random random(1);
  for (int i = 0; i < 20000; ++i) {
    const double rate = random.Unit() * (i % 2 == 0 ? 1 : 200);
    const double burst = random.Unit() * (i % 3 == 0 ? 1 : 100);
    const double overshoot = i % 5 == 0 ? 0 : random.Unit() * 0.2;
    const double slack = i % 7 == 0 ? 0 : random.Unit() * 30;
    const double window = 1 + random.Unit() * 9;
    const RateTolerance tolerance{std::chrono::duration_cast<Duration>(
                                      std::chrono::duration<double>(window)),
                                  overshoot, slack};
    const RatePlan plan = PlanRate(rate, burst, tolerance);
    const double bound = (rate * window + burst) * (1 + overshoot) + slack;
    BOOST_REQUIRE_LE(MostAdmitted(plan, window), bound + 1e-4);
    BOOST_REQUIRE(plan.burst >= 1 || bound < 1);
  }
}

// Guards against callers refused within a limit that the tolerance covers.
BOOST_AUTO_TEST_CASE(PlanRate_DeploymentA_KeepsRateAndBurst) {
  const RateTolerance tolerance{std::chrono::seconds(5), 0.1, 20};
  for (const double rate : {0.1, 0.28, 1.0, 55.0}) {
    const RatePlan plan = PlanRate(rate, std::max(rate, 1.0), tolerance);
    BOOST_TEST(plan.rate == rate);
    BOOST_TEST(plan.burst >= std::max(rate, 1.0));
    BOOST_TEST(plan.whole_token);
    BOOST_TEST(plan.reserve >= 8U);
  }
}

// Guards against an account with a burst below one that can never be served.
BOOST_AUTO_TEST_CASE(PlanRate_BurstBelowOne_HoldsOneWholeToken) {
  const RatePlan plan = PlanRate(1, 0, {std::chrono::seconds(5), 0, 0});
  BOOST_TEST(plan.burst == 1);
  BOOST_TEST(plan.rate < 1);
  BOOST_TEST(plan.rate > 0.7);
}

BOOST_AUTO_TEST_CASE(PlanRate_NoRate_AdmitsNothing) {
  const RatePlan plan = PlanRate(0, 5, {std::chrono::seconds(5), 0.1, 20});
  BOOST_TEST((plan == RatePlan{}));
}

// Guards against a reserve that is lost because it is below one per front.
BOOST_AUTO_TEST_CASE(ReserveOf_MoreFrontsThanRequests_FirstFrontsHoldOne) {
  std::uint32_t sum = 0;
  for (std::uint32_t rank = 0; rank < 60; ++rank) {
    const std::uint32_t part = ReserveOf(13, 60, rank);
    BOOST_TEST(part == (rank < 13 ? 1U : 0U));
    sum += part;
  }
  BOOST_TEST(sum == 13U);
}

BOOST_AUTO_TEST_CASE(ReserveOf_FewFronts_SumsToTheReserve) {
  std::uint32_t sum = 0;
  for (std::uint32_t rank = 0; rank < 6; ++rank) {
    sum += ReserveOf(17, 6, rank);
  }
  BOOST_TEST(sum == 17U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace

}  // namespace jacinthdeck
