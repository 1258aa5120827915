// Tests of the whole core of a node.
#include "jacinthdeck/cluster/cluster_node.h"

#include <boost/test/unit_test.hpp>

#include "support/cluster_harness.h"
#include "support/printers.h"

namespace jacinthdeck {

struct ClusterNodeFixture {
  ClusterNodeFixture() {
    cluster.Start(5);
    cluster.Run(std::chrono::seconds(5));
  }
  ClusterHarness cluster{61};
};

BOOST_FIXTURE_TEST_SUITE(ClusterNodeTest, ClusterNodeFixture)

// A process is stopped, its successor starts with the same name, and the first
// one wakes and speaks. What it says is of a life that is over.
BOOST_AUTO_TEST_CASE(ClusterNode_MessageOfAFormerLife_IsFenced) {
  cluster.Restart(1);
  cluster.Run(std::chrono::seconds(10));
  ClusterEffects effects;
  const Envelope old{ClusterHarness::Name(1),
                     Incarnation(1),
                     ClusterHarness::Name(0),
                     Ping{77},
                     {},
                     {}};
  cluster.node(0).OnPeer(old, cluster.now(), effects);
  BOOST_TEST(cluster.node(0).counters().fenced == 1U);
  BOOST_TEST(effects.sends.empty());
}

BOOST_AUTO_TEST_CASE(ClusterNode_RuntimeMessage_IsDelivered) {
  ClusterEffects effects;
  const Envelope sent{ClusterHarness::Name(1),
                      Incarnation(1),
                      ClusterHarness::Name(0),
                      ForwardReply{5, 200, "{}"},
                      {},
                      {}};
  cluster.node(0).OnPeer(sent, cluster.now(), effects);
  BOOST_REQUIRE(effects.deliveries.size() == 1U);
  BOOST_TEST((effects.deliveries.front() == sent));
}

BOOST_AUTO_TEST_CASE(ClusterNode_Entries_TokenStartsARequestId) {
  const EntryAnswer answer = cluster.node(0).Entries(cluster.now());
  BOOST_TEST(answer.entries.size() == 4U);
  const auto id = RequestId::Parse(answer.token + "-mine");
  BOOST_REQUIRE(id.has_value());
  BOOST_TEST(cluster.node(0).once().Arrive(*id, cluster.now()).decision ==
             OnceDecision::kRun);
  BOOST_TEST(cluster.node(1).once().Arrive(*id, cluster.now()).decision ==
             OnceDecision::kForward);
}

BOOST_AUTO_TEST_CASE(ClusterNode_Leaving_TakesNoNewIdsAndIsNotNamed) {
  const std::string token = cluster.node(0).Entries(cluster.now()).token;
  cluster.Leave(0);
  const auto id = RequestId::Parse(token + "-mine");
  BOOST_TEST(cluster.node(0).once().Arrive(*id, cluster.now()).decision ==
             OnceDecision::kRefused);
  cluster.Run(std::chrono::seconds(3));
  for (std::size_t index = 0; index < 5; ++index) {
    const auto entries = cluster.node(index).Entries(cluster.now()).entries;
    BOOST_TEST(entries.size() == 4U);
    for (const EntryAddress& entry : entries) {
      BOOST_TEST((entry.node != ClusterHarness::Name(0)));
    }
  }
}

// A process is stopped just after it sent a probe, and wakes after eight
// seconds. The answer was lost with its socket's buffer. Without the check of
// the clock the member would be accused for the process's own silence.
BOOST_AUTO_TEST_CASE(ClusterNode_PausedWithAnOpenProbe_AccusesNobody) {
  ClusterNode& node = cluster.node(0);
  TimePoint now = cluster.now();
  ClusterEffects effects;
  while (effects.sends.empty()) {
    now += std::chrono::milliseconds(10);
    node.OnTimer(now, effects);
  }
  const NodeId subject = effects.sends.front().envelope.to;
  for (int step = 0; step < 3; ++step) {
    now += std::chrono::seconds(8);
    node.OnTimer(now, effects);
    BOOST_TEST(node.members().StateOf(subject, now) == MemberState::kLive);
  }
}

// A node whose receiving side is broken hears nobody, and everybody looks dead
// to it. Told to others, its accusations would have to be refuted by all.
BOOST_AUTO_TEST_CASE(ClusterNode_HearsNobody_KeepsAccusationsToItself) {
  ClusterNode& node = cluster.node(0);
  TimePoint now = cluster.now();
  ClusterEffects effects;
  for (int step = 0; step < 1000; ++step) {
    now += std::chrono::milliseconds(10);
    node.OnTimer(now, effects);
    if (step == 200) {
      // The probe that was open at the start had been heard beside.
      effects.sends.clear();
    }
  }
  BOOST_TEST(node.members().StateOf(ClusterHarness::Name(1), now) !=
             MemberState::kLive);
  for (const PeerSend& send : effects.sends) {
    for (const MemberUpdate& update : send.envelope.gossip) {
      BOOST_TEST((update.health == MemberHealth::kAlive ||
                  update.node == send.envelope.to));
    }
  }
}

// The store answers slowly or not at all. Calls that wait must not pile up.
BOOST_AUTO_TEST_CASE(ClusterNode_StoreSilent_FewCallsInFlight) {
  cluster.store().faults().down = true;
  for (int change = 0; change < 20; ++change) {
    (void)cluster.Submit(0, "op-" + std::to_string(change), Revision(), "x");
  }
  const std::uint64_t before = cluster.store().calls();
  cluster.Run(std::chrono::milliseconds(700));
  BOOST_TEST(cluster.store().calls() - before <= 5 * StoreCaller::kMaxInFlight);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
