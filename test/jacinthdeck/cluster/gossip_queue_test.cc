// Tests of the bound on gossip.
#include "jacinthdeck/cluster/gossip_queue.h"

#include <boost/test/unit_test.hpp>
#include <numeric>
#include <set>

#include "jacinthdeck/cluster/message_size.h"

namespace jacinthdeck {

struct GossipFixture {
  void Add(int count) {
    for (int index = 0; index < count; ++index) {
      MemberUpdate update;
      update.node = NodeId("node-" + std::to_string(index));
      queue.Add(update);
    }
  }

  GossipQueue queue{512};
};

BOOST_FIXTURE_TEST_SUITE(GossipQueueTest, GossipFixture)

// A rack fails and hundreds of statements wait. Unbounded, every probe would
// carry them all and the links would be full of gossip.
BOOST_AUTO_TEST_CASE(GossipQueue_ManyStatements_MessageStaysBounded) {
  Add(500);
  std::set<NodeId> told;
  for (int message = 0; message < 200; ++message) {
    const auto taken = queue.Take(590);
    const std::size_t bytes =
        std::accumulate(taken.begin(), taken.end(), std::size_t{0},
                        [](std::size_t sum, const MemberUpdate& update) {
                          return sum + EstimateSize(update);
                        });
    BOOST_TEST(bytes <= 512U);
    for (const MemberUpdate& update : taken) {
      told.insert(update.node);
    }
  }
  BOOST_TEST(told.size() == 500U);
}

BOOST_AUTO_TEST_CASE(GossipQueue_ToldOften_IsDropped) {
  Add(1);
  int told = 0;
  while (!queue.Take(8).empty()) {
    ++told;
  }
  BOOST_TEST(told == 4);
  BOOST_TEST(queue.size() == 0U);
}

BOOST_AUTO_TEST_CASE(GossipQueue_NewerStatement_TakesTheOldOnesPlace) {
  Add(1);
  MemberUpdate newer;
  newer.node = NodeId("node-0");
  newer.refutation = 7;
  queue.Add(newer);
  BOOST_TEST(queue.size() == 1U);
  BOOST_TEST(queue.Take(8).front().refutation == 7U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
