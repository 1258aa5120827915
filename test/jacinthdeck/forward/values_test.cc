// Tests of routes, merged records and traffic splits.
#include <array>
#include <boost/test/unit_test.hpp>
#include <string>

#include "jacinthdeck/forward/routing_config.h"
#include "jacinthdeck/forward/top_records.h"
#include "jacinthdeck/forward/weighted_round_robin.h"
#include "support/printers.h"

namespace jacinthdeck {

namespace {

[[nodiscard]] Route MakeRoute(const std::string& host,
                              const std::string& prefix) {
  Route route;
  route.name = host + prefix;
  route.host = host;
  route.prefix = prefix;
  route.services = {{ServiceId("s"), 1}};
  return route;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ForwardValuesTest)

BOOST_AUTO_TEST_CASE(Find_SeveralPrefixesMatch_ChoosesLongest) {
  const RoutingConfig config(
      1, {MakeRoute("a", "/x/"), MakeRoute("a", "/x/y/"), MakeRoute("b", "/")},
      {}, {});
  BOOST_REQUIRE(config.Find("a", "/x/y/z") != nullptr);
  BOOST_TEST(config.Find("a", "/x/y/z")->prefix == "/x/y/");
  BOOST_TEST(config.Find("A:80", "/x/z")->prefix == "/x/");
  BOOST_TEST(config.Find("a", "/xy/") == nullptr);
  BOOST_TEST(config.Find("c", "/x/") == nullptr);
}

BOOST_AUTO_TEST_CASE(MinShards_ShareIsExact_DoesNotRoundUp) {
  Route route;
  route.shards.resize(10);
  route.min_share = 0.9;
  BOOST_TEST(route.min_shards() == 9U);
  route.min_share = 0.89;
  BOOST_TEST(route.min_shards() == 9U);
  route.min_share = 0;
  BOOST_TEST(route.min_shards() == 1U);
}

BOOST_AUTO_TEST_CASE(
    TopRecords_TrailingBytesAndDuplicates_DropsOnlyTrailingBytes) {
  const std::string low(16, '\x01');
  const std::string high(16, '\xff');
  const std::string first = low + high + "rest";
  const std::string& second = high;
  const std::array<std::string_view, 2> parts{first, second};
  BOOST_TEST(TopRecords(parts, 3) == high + high + low);
  BOOST_TEST(TopRecords(parts, 2) == high + high);
  BOOST_TEST(TopRecords({}, 2).empty());
}

BOOST_AUTO_TEST_CASE(
    WeightedRoundRobin_AnyNumberOfRequests_SharesAreWithinOne) {
  const std::array<WeightedService, 3> services{
      WeightedService{ServiceId("a"), 70}, WeightedService{ServiceId("b"), 25},
      WeightedService{ServiceId("c"), 5}};
  WeightedRoundRobin round_robin;
  std::array<int, 3> counts{};
  for (int i = 1; i <= 500; ++i) {
    ++counts.at(round_robin.Next(services));
    for (std::size_t s = 0; s < counts.size(); ++s) {
      const double expected = i * services.at(s).weight / 100;
      BOOST_TEST(std::abs(counts.at(s) - expected) <= 1.0);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
