// Tests of the bound on store calls.
#include "jacinthdeck/cluster/store_caller.h"

#include <boost/test/unit_test.hpp>

namespace jacinthdeck {

struct StoreCallerFixture {
  PeerCounters counters;
  StoreCaller caller{std::chrono::milliseconds(700), counters};
  ClusterEffects effects;
};

BOOST_FIXTURE_TEST_SUITE(StoreCallerTest, StoreCallerFixture)

// The store hangs. Each part tries again, and the calls that wait would grow
// without end.
BOOST_AUTO_TEST_CASE(StoreCaller_NoReplies_RefusesBeyondTheBound) {
  for (std::size_t call = 0; call < StoreCaller::kMaxInFlight; ++call) {
    BOOST_TEST(caller.Read("key", effects).has_value());
  }
  BOOST_TEST(!caller.Read("key", effects).has_value());
  BOOST_TEST(effects.store_requests.size() == StoreCaller::kMaxInFlight);
  StoreReply reply;
  reply.id = effects.store_requests.front().id;
  BOOST_TEST(caller.OnReply(reply));
  BOOST_TEST(!caller.OnReply(reply));
  BOOST_TEST(caller.Read("key", effects).has_value());
  BOOST_TEST(counters.store_reads == StoreCaller::kMaxInFlight + 1);
  BOOST_TEST(counters.store_failures == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
