// Tests of the rounds of acknowledgements, message by message.
#include "jacinthdeck/cluster/ack_collector.h"

#include <boost/test/unit_test.hpp>

#include "jacinthdeck/core/manual_clock.h"
#include "support/printers.h"

namespace jacinthdeck {

struct CollectorFixture {
  CollectorFixture() {
    clock.Advance(std::chrono::hours(1));
    for (const char* name : {"b", "c"}) {
      MemberUpdate update;
      update.node = NodeId(name);
      update.incarnation = Incarnation(1);
      (void)table.Merge(update, clock.Now());
    }
    ConfigValue value;
    value.revision = Revision(4);
    value.voters = {NodeId("b"), NodeId("c"), NodeId("d")};
    replica.OnRead(value, clock.Now(), effects);
    collector.emplace(options, table, sender, replica, Revision(4));
  }

  [[nodiscard]] static SelfInfo Self() {
    SelfInfo self;
    self.node = NodeId("a");
    self.incarnation = Incarnation(1);
    return self;
  }

  void Ack(const char* node, std::uint64_t incarnation, std::uint64_t round) {
    const RevisionAck ack{Revision(4), round, Revision(4)};
    collector->OnAck({NodeId(node),
                      Incarnation(incarnation),
                      NodeId("a"),
                      ack,
                      {},
                      Revision(4)},
                     ack, clock.Now());
  }

  [[nodiscard]] bool AcceptedAfter(Duration wait) {
    clock.Advance(wait);
    return collector->Accepted(clock.Now());
  }

  ManualClock clock;
  ClusterOptions options;
  PeerCounters counters;
  GossipQueue gossip{512};
  MemberTable table{Self(), options};
  PeerSender sender{table, gossip, counters};
  StoreCaller store{options.store_timeout, counters};
  ConfigReplica replica{options, 1, table, sender, store};
  ClusterEffects effects;
  std::optional<AckCollector> collector;
};

BOOST_FIXTURE_TEST_SUITE(AckCollectorTest, CollectorFixture)

// Accepted before the lease is over, a node that has heard nothing since could
// still be serving the old revision. Two percent more, for slow clocks.
BOOST_AUTO_TEST_CASE(Collector_TwoRounds_AcceptedAfterTheLeaseAndDrift) {
  Ack("b", 1, 1);
  Ack("c", 1, 1);
  Ack("b", 1, 2);
  Ack("c", 1, 2);
  BOOST_TEST(!AcceptedAfter(options.serving_lease));
  BOOST_TEST(!AcceptedAfter(std::chrono::milliseconds(59)));
  BOOST_TEST(AcceptedAfter(std::chrono::milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(Collector_OneRoundOnly_IsNotAccepted) {
  Ack("b", 1, 1);
  Ack("c", 1, 1);
  BOOST_TEST(!AcceptedAfter(std::chrono::hours(1)));
}

// b acknowledges, restarts and acknowledges the second round as a new life. In
// between it knew nothing: c's acknowledgement may have come at that time, and
// a majority never held the revision at one moment.
BOOST_AUTO_TEST_CASE(Collector_NewLifeInTheSecondRound_StartsOver) {
  Ack("b", 1, 1);
  Ack("c", 1, 1);
  Ack("b", 2, 2);
  Ack("c", 1, 2);
  BOOST_TEST(!AcceptedAfter(std::chrono::hours(1)));
  collector->OnTimer(clock.Now(), effects);
  const auto& last = effects.sends.back().envelope.message;
  const std::uint64_t round = std::get<AckRequest>(last).round;
  BOOST_TEST(round == 3U);
  Ack("b", 2, round);
  Ack("c", 1, round);
  Ack("b", 2, round + 1);
  Ack("c", 1, round + 1);
  BOOST_TEST(AcceptedAfter(std::chrono::hours(1)));
}

// An answer to an earlier round arrives late. It was given before the second
// round began and proves nothing for it.
BOOST_AUTO_TEST_CASE(Collector_LateAnswerToTheFirstRound_IsNotASecond) {
  Ack("b", 1, 1);
  Ack("c", 1, 1);
  Ack("b", 1, 1);
  Ack("c", 1, 1);
  BOOST_TEST(!AcceptedAfter(std::chrono::hours(1)));
}

// The voters change during the rounds. A majority of the old list is none of
// the new one.
BOOST_AUTO_TEST_CASE(Collector_ListsChange_CountedByTheNewLists) {
  Ack("b", 1, 1);
  Ack("c", 1, 1);
  ConfigValue value = *replica.value();
  value.revision = Revision(5);
  value.former_voters = value.voters;
  value.voters = {NodeId("d"), NodeId("e"), NodeId("f")};
  replica.Adopt(value, effects);
  Ack("b", 1, 2);
  Ack("c", 1, 2);
  BOOST_TEST(!AcceptedAfter(std::chrono::hours(1)));
}

BOOST_AUTO_TEST_CASE(Collector_Outsider_IsNotCounted) {
  Ack("b", 1, 1);
  Ack("x", 1, 1);
  Ack("b", 1, 2);
  Ack("x", 1, 2);
  BOOST_TEST(!AcceptedAfter(std::chrono::hours(1)));
  const std::vector<NodeId> waiting{NodeId("c"), NodeId("d")};
  BOOST_TEST((collector->WaitingFor() == waiting));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
