// Tests of the hedge policies.
#include "jacinthdeck/routing/hedge_policy.h"

#include <boost/test/unit_test.hpp>

namespace jacinthdeck {

using std::chrono::milliseconds;

struct HedgePolicyFixture {
  //! Adds latencies around 5 ms, of which the given percentage are stragglers
  //! of 50 ms.
  void Fill(int stragglers_in_100) {
    for (int i = 0; i < 1000; ++i) {
      latencies.Add(i % 100 < stragglers_in_100 ? milliseconds(50)
                                                : Duration(4000 + 2 * i));
    }
  }

  LatencyHistogram latencies;
  QuantileHedging quantile_hedging;
};

BOOST_FIXTURE_TEST_SUITE(HedgePolicyTest, HedgePolicyFixture)

BOOST_AUTO_TEST_CASE(QuantileHedging_NoSamples_ReturnsTheDefaultDelay) {
  BOOST_TEST((quantile_hedging.Delay(latencies) == milliseconds(50)));
}

BOOST_AUTO_TEST_CASE(
    QuantileHedging_OnePercentStragglers_IsAboveTheNormalLatency) {
  Fill(1);
  BOOST_TEST((quantile_hedging.Delay(latencies) >= Duration(5800)));
  BOOST_TEST((quantile_hedging.Delay(latencies) <= Duration(6500)));
}

// The share of stragglers exceeds the share of requests above the high
// quantile, so that quantile is a straggler's latency. Without the cap, a
// caller would wait that long before the hedge is sent. The delay must stay far
// below.
BOOST_AUTO_TEST_CASE(QuantileHedging_StragglersReachTheQuantile_IsCapped) {
  Fill(5);
  BOOST_TEST((quantile_hedging.Delay(latencies) <= milliseconds(20)));
}

BOOST_AUTO_TEST_CASE(Baselines_AnyLatencies_ReturnAFixedDelay) {
  Fill(5);
  BOOST_TEST((NoHedging().Delay(latencies) == kNoHedge));
  BOOST_TEST(
      (FixedHedging(milliseconds(7)).Delay(latencies) == milliseconds(7)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
