// Tests of the serving lease, of recovery and of the spread of revisions.
#include "jacinthdeck/cluster/config_replica.h"

#include <boost/test/unit_test.hpp>

#include "support/cluster_harness.h"
#include "support/printers.h"

namespace jacinthdeck {

struct ReplicaFixture {
  ReplicaFixture() {
    cluster.Start(5);
    cluster.Run(std::chrono::seconds(5));
    first = cluster.Configure("one");
  }

  bool Accept(std::size_t index, const std::string& operation) {
    const OperatorCallId call =
        cluster.Submit(index, operation, cluster.RevisionAt(index), operation);
    (void)cluster.RunUntil([&] { return cluster.ReplyTo(call) != nullptr; },
                           std::chrono::seconds(15));
    return cluster.ReplyTo(call)->state == ChangeState::kAccepted;
  }

  ClusterHarness cluster{31};
  Revision first;
};

BOOST_FIXTURE_TEST_SUITE(ConfigReplicaTest, ReplicaFixture)

// The store goes away for ten minutes. Callers must not notice: the nodes renew
// their leases from one another.
BOOST_AUTO_TEST_CASE(Replica_StoreDown_MajorityGoesOnServing) {
  cluster.store().faults().down = true;
  for (int step = 0; step < 6000; ++step) {
    cluster.Run(std::chrono::milliseconds(100));
    for (std::size_t index = 0; index < cluster.size(); ++index) {
      BOOST_REQUIRE(cluster.Serving(index) == ServeState::kServing);
    }
  }
}

// A node is cut off from its peers and from the store. A change is accepted
// meanwhile; answers by the old revision after that would be a reverted change
// in the operator's eyes. The node must have stopped by itself before.
BOOST_AUTO_TEST_CASE(Replica_CutOffNode_StopsBeforeAChangeIsAccepted) {
  cluster.Isolate(4);
  cluster.CutStore(4, true);
  const OperatorCallId call = cluster.Submit(0, "second", first, "two");
  const auto accepted = cluster.RunUntil(
      [&] {
        const bool old = cluster.RevisionAt(4) == first;
        const bool serves = cluster.Serving(4) == ServeState::kServing;
        const OperatorReply* reply = cluster.ReplyTo(call);
        BOOST_REQUIRE((reply == nullptr || !old || !serves));
        return reply != nullptr;
      },
      std::chrono::seconds(15));
  BOOST_REQUIRE(accepted.has_value());
  BOOST_TEST(cluster.ReplyTo(call)->state == ChangeState::kAccepted);
  BOOST_TEST(cluster.Serving(4) == ServeState::kLeaseLapsed);
}

// A node cannot reach the store but reaches its peers. It must get the new
// revision from them, within seconds.
BOOST_AUTO_TEST_CASE(Replica_CutOffFromTheStoreOnly_LearnsFromPeers) {
  cluster.CutStore(4, true);
  BOOST_TEST(Accept(0, "second"));
  BOOST_TEST(cluster.RevisionAt(4) == Revision(first.raw() + 1));
  BOOST_TEST(cluster.Serving(4) == ServeState::kServing);
}

// A node serves, is stopped for longer than the lease and wakes. A change was
// accepted meanwhile. The check happens at the answer, so the first answer
// after the pause is refused.
BOOST_AUTO_TEST_CASE(Replica_PausedBeyondTheLease_RefusesAtWaking) {
  cluster.Pause(4);
  BOOST_TEST(Accept(0, "second"));
  BOOST_TEST(cluster.RevisionAt(4) == first);
  BOOST_TEST(cluster.Serving(4) == ServeState::kLeaseLapsed);
  cluster.Resume(4);
  const auto back = cluster.RunUntil(
      [&] { return cluster.Serving(4) == ServeState::kServing; },
      std::chrono::seconds(5));
  BOOST_TEST(back.has_value());
  BOOST_TEST(cluster.RevisionAt(4) == Revision(first.raw() + 1));
}

// The reply to a read waits in the socket of a stopped process. Read after the
// pause it looks fresh; it tells of the moment when it was asked.
BOOST_AUTO_TEST_CASE(Replica_ReadAnsweredBeforeThePause_DoesNotRenew) {
  cluster.Isolate(4);
  cluster.set_store_delay(std::chrono::milliseconds(50));
  const std::uint64_t reads = cluster.node(4).counters().store_reads;
  (void)cluster.RunUntil(
      [&] { return cluster.node(4).counters().store_reads > reads; },
      std::chrono::seconds(3));
  cluster.Pause(4);
  cluster.Run(std::chrono::seconds(5));
  cluster.CutStore(4, true);
  cluster.Resume(4);
  BOOST_TEST(cluster.Serving(4) == ServeState::kLeaseLapsed);
}

// A node restarts in a store outage. It has no file and no default; it takes
// the revision from its peers and serves once a majority of others has
// confirmed it.
BOOST_AUTO_TEST_CASE(Replica_RestartInAnOutage_LearnsFromPeersAndServes) {
  cluster.store().faults().down = true;
  cluster.Run(std::chrono::seconds(5));
  cluster.Restart(4);
  BOOST_TEST(cluster.Serving(4) == ServeState::kNoConfig);
  const auto back = cluster.RunUntil(
      [&] { return cluster.Serving(4) == ServeState::kServing; },
      std::chrono::seconds(5));
  BOOST_TEST(back.has_value());
  BOOST_TEST(cluster.RevisionAt(4) == first);
}

// All but two of five restart in an outage. The two that remember are no
// majority, and the restarted ones may have forgotten what they acknowledged:
// nobody can tell the newest revision, and nobody may serve.
BOOST_AUTO_TEST_CASE(Replica_MajorityRestartsInAnOutage_RestartedRefuse) {
  cluster.store().faults().down = true;
  cluster.Run(std::chrono::seconds(5));
  for (const std::size_t index : {2, 3, 4}) {
    cluster.Restart(index);
  }
  cluster.Run(std::chrono::seconds(30));
  for (const std::size_t index : {2, 3, 4}) {
    BOOST_TEST(cluster.Serving(index) == ServeState::kRecovering);
  }
  cluster.store().faults().down = false;
  const auto back = cluster.RunUntil(
      [&] { return cluster.Serving(3) == ServeState::kServing; },
      std::chrono::seconds(10));
  BOOST_TEST(back.has_value());
}

// A change is accepted by nodes 0, 1 and 2 of five while 3 and 4 are cut off.
// Then the store goes down and 0 and 1 restart, and 2 is cut off in turn. The
// new lives meet 3 and 4 with the old revision; counted among the majority they
// would serve what the operator has replaced.
BOOST_AUTO_TEST_CASE(Replica_ForgottenAcknowledgement_OldRevisionNotServed) {
  for (const std::size_t index : {3, 4}) {
    cluster.Isolate(index);
    cluster.CutStore(index, true);
  }
  BOOST_TEST(Accept(0, "second"));
  cluster.store().faults().down = true;
  cluster.Isolate(2);
  for (const std::size_t index : {3, 4}) {
    cluster.Rejoin(index);
  }
  cluster.Isolate(2);
  cluster.Restart(0);
  cluster.Restart(1);
  for (int step = 0; step < 300; ++step) {
    cluster.Run(std::chrono::milliseconds(100));
    for (std::size_t index = 0; index < cluster.size(); ++index) {
      BOOST_REQUIRE((cluster.RevisionAt(index) > first ||
                     cluster.Serving(index) != ServeState::kServing));
    }
  }
}

BOOST_AUTO_TEST_CASE(Replica_AloneInAnOutage_RefusesWithoutADefault) {
  cluster.store().faults().down = true;
  for (std::size_t index = 1; index < cluster.size(); ++index) {
    cluster.Kill(index);
  }
  cluster.Restart(0);
  cluster.Run(std::chrono::seconds(30));
  BOOST_TEST(cluster.Serving(0) == ServeState::kNoConfig);
}

// The store's reads lag: they answer with a former revision. A node that took
// it would go back; a node that took it as a renewal would go on serving a
// revision that its peers have told it is old.
BOOST_AUTO_TEST_CASE(Replica_StaleReads_NeverGoesBack) {
  cluster.store().FreezeReads();
  BOOST_TEST(Accept(0, "second"));
  const Revision second = cluster.RevisionAt(0);
  cluster.store().faults().stale_reads = true;
  for (int step = 0; step < 2000; ++step) {
    cluster.Run(ClusterHarness::kStep);
    for (std::size_t index = 0; index < cluster.size(); ++index) {
      BOOST_REQUIRE(cluster.RevisionAt(index) == second);
      BOOST_REQUIRE(cluster.Serving(index) == ServeState::kServing);
    }
  }
  cluster.Restart(2);
  cluster.Run(std::chrono::seconds(10));
  BOOST_TEST(cluster.RevisionAt(2) == second);
}

// Reads lag and a peer has told of a newer revision, which cannot be fetched.
// The stale read must not renew the lease.
BOOST_AUTO_TEST_CASE(Replica_StaleReadBelowWhatPeersTold_DoesNotRenew) {
  cluster.store().FreezeReads();
  cluster.Isolate(4);
  BOOST_TEST(Accept(0, "second"));
  cluster.store().faults().stale_reads = true;
  cluster.Restart(4);
  cluster.Isolate(4);
  cluster.Run(std::chrono::seconds(2));
  BOOST_TEST(cluster.RevisionAt(4) == first);
  ClusterEffects effects;
  const Envelope told{ClusterHarness::Name(0),
                      Incarnation(1),
                      ClusterHarness::Name(4),
                      RevisionAnnounce{Revision(first.raw() + 1)},
                      {},
                      {}};
  cluster.node(4).OnPeer(told, cluster.now(), effects);
  cluster.Run(std::chrono::seconds(4));
  BOOST_TEST(cluster.Serving(4) == ServeState::kLeaseLapsed);
}

// Eight nodes read the configuration each T/2, and no more: the store counts
// every call.
BOOST_AUTO_TEST_CASE(Replica_Steady_StoreCallsWithinTheBudget) {
  const std::uint64_t before = cluster.store().calls();
  cluster.Run(std::chrono::seconds(60));
  const std::uint64_t calls = cluster.store().calls() - before;
  // 5 nodes, one read each 1.125 to 1.5 s, one list a minute.
  BOOST_TEST(calls <= 5U * 55U);
  BOOST_TEST(calls >= 5U * 40U);
}

// The store comes back after a long outage. All nodes at once would overload it
// again; the jitter spreads them.
BOOST_AUTO_TEST_CASE(Replica_StoreReturns_CallsAreSpread) {
  cluster.store().faults().down = true;
  cluster.Run(std::chrono::seconds(60));
  const std::uint64_t outage = cluster.store().calls();
  cluster.Run(std::chrono::seconds(60));
  // Waiting windows grow to 5 s, and each call takes its 0.7 s timeout.
  BOOST_TEST(cluster.store().calls() - outage < 5U * 2U * 40U);
  cluster.store().faults().down = false;
  std::uint64_t most = 0;
  for (int step = 0; step < 50; ++step) {
    const std::uint64_t before = cluster.store().calls();
    cluster.Run(std::chrono::milliseconds(100));
    most = std::max(most, cluster.store().calls() - before);
  }
  BOOST_TEST(most <= 5U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
