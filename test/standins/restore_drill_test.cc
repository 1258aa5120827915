// Tests of the scripted outage and restore of the stand-in store.
#include "store/restore_drill.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

#include "jacinthdeck/core/boottime_clock.h"
#include "store/store_server.h"

namespace jacinthdeck::standins {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

struct RestoreDrillFixture {
  BoottimeClock clock;
  StoreServer server{0, clock, {}, 1};

  void Put(const std::string& key) {
    StoreControl control;
    control.faults = server.faults();
    control.puts.push_back({key, "1", {}});
    server.Apply(control);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(RestoreDrillTest, RestoreDrillFixture)

BOOST_AUTO_TEST_CASE(Drill_Completes_StoreServesTheSnapshot) {
  Put("before");
  RestoreDrill drill(server, {{}, {}, milliseconds(200)});
  while (server.faults().outage != Outage::kSilent) {
  }
  Put("after");
  drill.Join();
  BOOST_TEST((server.faults().outage == Outage::kNone));
  BOOST_TEST(server.content().era() == 2U);
  BOOST_TEST(server.content().Get("before").has_value());
  BOOST_TEST(!server.content().Get("after").has_value());
}

BOOST_AUTO_TEST_CASE(Drill_DestroyedBeforeRestore_RestoresNothing) {
  Put("before");
  { const RestoreDrill drill(server, {hours(1), hours(1), hours(1)}); }
  BOOST_TEST(server.content().era() == 1U);
  BOOST_TEST(server.content().Get("before").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::standins
