// Tests of the decaying latency histogram.
#include "jacinthdeck/routing/latency_histogram.h"

#include <boost/test/unit_test.hpp>

namespace jacinthdeck {

using std::chrono::milliseconds;

struct LatencyHistogramFixture {
  void Fill(int samples, Duration latency) {
    for (int i = 0; i < samples; ++i) {
      histogram.Add(latency);
    }
  }

  LatencyHistogram histogram;
};

BOOST_FIXTURE_TEST_SUITE(LatencyHistogramTest, LatencyHistogramFixture)

BOOST_AUTO_TEST_CASE(Quantile_WithoutSamples_IsZero) {
  BOOST_TEST((histogram.Quantile(0.99) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(Quantile_BimodalLatencies_IsWithinOneBucket) {
  Fill(960, milliseconds(5));
  Fill(40, milliseconds(50));
  BOOST_TEST(ToMilliseconds(histogram.Quantile(0.9)) > 4.7);
  BOOST_TEST(ToMilliseconds(histogram.Quantile(0.9)) < 5.3);
  BOOST_TEST(ToMilliseconds(histogram.Quantile(0.97)) > 47);
  BOOST_TEST(ToMilliseconds(histogram.Quantile(0.97)) < 53);
}

BOOST_AUTO_TEST_CASE(Quantile_ServiceBecomesSlower_FollowsWithinTwoHalvings) {
  Fill(20000, milliseconds(5));
  Fill(2 * LatencyHistogram::kDecaySamples, milliseconds(20));
  BOOST_TEST(ToMilliseconds(histogram.Quantile(0.5)) > 18.8);
}

BOOST_AUTO_TEST_CASE(Quantile_LatenciesOutsideTheAxis_AreCounted) {
  Fill(10, Duration(1));
  Fill(10, std::chrono::minutes(10));
  BOOST_TEST((histogram.Quantile(0.4) <= Duration(60)));
  BOOST_TEST((histogram.Quantile(0.9) == std::chrono::seconds(60)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
