// Tests of operators' changes over several cores and a store with faults.
#include "jacinthdeck/cluster/config_coordinator.h"

#include <boost/test/unit_test.hpp>

#include "jacinthdeck/cluster/config_codec.h"
#include "support/cluster_harness.h"
#include "support/printers.h"

namespace jacinthdeck {

struct CoordinatorFixture {
  CoordinatorFixture() {
    cluster.Start(5);
    cluster.Run(std::chrono::seconds(5));
  }

  const OperatorReply& Wait(OperatorCallId call) {
    const auto replied =
        cluster.RunUntil([&] { return cluster.ReplyTo(call) != nullptr; },
                         std::chrono::seconds(15));
    BOOST_REQUIRE(replied.has_value());
    return *cluster.ReplyTo(call);
  }

  ConfigValue Stored() {
    return std::get<ConfigValue>(Capture(
        [&] { return DecodeConfig(cluster.store().ValueOf("config")); }));
  }

  ClusterHarness cluster{21};
};

BOOST_FIXTURE_TEST_SUITE(ConfigCoordinatorTest, CoordinatorFixture)

BOOST_AUTO_TEST_CASE(Coordinator_FirstChange_InForceOnAllWhenAccepted) {
  const Revision revision = cluster.Configure("one");
  BOOST_TEST(revision.raw() == 1U);
  for (std::size_t index = 0; index < cluster.size(); ++index) {
    BOOST_TEST(cluster.RevisionAt(index).raw() == 1U);
    BOOST_TEST(cluster.Serving(index) == ServeState::kServing);
  }
}

BOOST_AUTO_TEST_CASE(Coordinator_Change_IsAcceptedWithinSevenSeconds) {
  const Revision first = cluster.Configure("one");
  const TimePoint start = cluster.now();
  const OperatorReply& reply = Wait(cluster.Submit(3, "second", first, "two"));
  BOOST_TEST(reply.state == ChangeState::kAccepted);
  BOOST_TEST((cluster.now() - start < std::chrono::seconds(7)));
}

// The store applies the write and its reply is lost. The operator's node cannot
// tell from the call what happened; written again, the change would be applied
// twice. It reads back the operation id.
BOOST_AUTO_TEST_CASE(Coordinator_CasReplyLost_AcceptedOnce) {
  const Revision first = cluster.Configure("one");
  cluster.store().faults().lose_write_replies = 1;
  const OperatorReply& reply = Wait(cluster.Submit(1, "second", first, "two"));
  BOOST_TEST(reply.state == ChangeState::kAccepted);
  BOOST_TEST(reply.revision.raw() == first.raw() + 1);
  BOOST_TEST(Stored().revision.raw() == first.raw() + 1);
}

// The write is lost before it takes effect. From the node's side this looks the
// same as a lost reply; the read-back tells that it has to be written again.
BOOST_AUTO_TEST_CASE(Coordinator_CasLost_WrittenAgainAndAccepted) {
  const Revision first = cluster.Configure("one");
  cluster.store().faults().lose_writes = 1;
  const OperatorReply& reply = Wait(cluster.Submit(1, "second", first, "two"));
  BOOST_TEST(reply.state == ChangeState::kAccepted);
  BOOST_TEST(Stored().revision.raw() == first.raw() + 1);
}

// Two operators change the same configuration at once through two nodes. One
// must win and the other must be told so, with nothing of its change applied.
BOOST_AUTO_TEST_CASE(Coordinator_TwoOperatorsRace_OneWinsOneConflicts) {
  const Revision first = cluster.Configure("one");
  const OperatorCallId left = cluster.Submit(1, "left", first, "from left");
  const OperatorCallId right = cluster.Submit(2, "right", first, "from right");
  const ChangeState left_state = Wait(left).state;
  const ChangeState right_state = Wait(right).state;
  const bool left_won = left_state == ChangeState::kAccepted;
  BOOST_TEST((left_won ? right_state : left_state) == ChangeState::kConflict);
  BOOST_TEST((left_won || right_state == ChangeState::kAccepted));
  BOOST_TEST(Stored().content.schema ==
             (left_won ? "from left" : "from right"));
  BOOST_TEST(Stored().revision.raw() == first.raw() + 1);
}

BOOST_AUTO_TEST_CASE(Coordinator_ResentOperation_GetsTheSameRevision) {
  const Revision first = cluster.Configure("one");
  const Revision second =
      Wait(cluster.Submit(1, "second", first, "two")).revision;
  const OperatorReply& again = Wait(cluster.Submit(4, "second", first, "two"));
  BOOST_TEST(again.state == ChangeState::kAccepted);
  BOOST_TEST(again.revision.raw() == second.raw());
  BOOST_TEST(Stored().revision.raw() == second.raw());
}

// The operator's node dies after the write. The change is at the store, so
// another node finishes it under the same operation id.
BOOST_AUTO_TEST_CASE(Coordinator_NodeDiesHalfway_AnotherNodeFinishes) {
  const Revision first = cluster.Configure("one");
  (void)cluster.Submit(1, "second", first, "two");
  (void)cluster.RunUntil(
      [&] { return cluster.RevisionAt(1).raw() == first.raw() + 1; },
      std::chrono::seconds(1));
  cluster.Kill(1);
  const OperatorReply& reply = Wait(cluster.Submit(2, "second", first, "two"));
  BOOST_TEST(reply.state == ChangeState::kAccepted);
  BOOST_TEST(reply.revision.raw() == first.raw() + 1);
}

BOOST_AUTO_TEST_CASE(Coordinator_StoreDown_UnavailableAndNothingApplied) {
  const Revision first = cluster.Configure("one");
  cluster.store().faults().down = true;
  const OperatorReply& reply = Wait(cluster.Submit(1, "second", first, "two"));
  BOOST_TEST(reply.state == ChangeState::kUnavailable);
  cluster.store().faults().down = false;
  cluster.Run(std::chrono::seconds(10));
  BOOST_TEST(Stored().revision.raw() == first.raw());
}

// The reply of the write is lost and then the store goes down. Told "not
// applied", the operator would be misled: the change is at the store.
BOOST_AUTO_TEST_CASE(Coordinator_ReplyLostThenOutage_UnknownThenAccepted) {
  const Revision first = cluster.Configure("one");
  cluster.store().faults().lose_write_replies = 1;
  const OperatorCallId call = cluster.Submit(1, "second", first, "two");
  (void)cluster.RunUntil([&] { return Stored().revision > first; },
                         std::chrono::seconds(1));
  cluster.store().faults().down = true;
  BOOST_TEST(Wait(call).state == ChangeState::kUnknown);
  cluster.store().faults().down = false;
  const OperatorReply& again = Wait(cluster.Submit(3, "second", first, "two"));
  BOOST_TEST(again.state == ChangeState::kAccepted);
  BOOST_TEST(Stored().revision.raw() == first.raw() + 1);
}

// A majority of the voters is silent. The change is at the store and may come
// into force at any time, but it must not be called accepted.
BOOST_AUTO_TEST_CASE(Coordinator_MajoritySilent_PendingNamesThem) {
  const Revision first = cluster.Configure("one");
  for (const std::size_t silent : {2, 3, 4}) {
    cluster.Pause(silent);
  }
  const OperatorReply& reply = Wait(cluster.Submit(1, "second", first, "two"));
  BOOST_TEST(reply.state == ChangeState::kPending);
  BOOST_TEST(reply.waiting_for.size() == 3U);
}

// A voter acknowledges and restarts before the next one does. Its new life has
// forgotten; counted by its name alone it would complete a majority that at no
// moment existed. The second round asks the same incarnations again.
BOOST_AUTO_TEST_CASE(Coordinator_VoterRestartsBetweenRounds_OldLifeNotCounted) {
  const Revision first = cluster.Configure("one");
  // Only node 1 reaches the store, so that others learn from their peers.
  for (const std::size_t other : {0, 2, 3, 4}) {
    cluster.CutStore(other, true);
  }
  for (const std::size_t silent : {2, 3, 4}) {
    cluster.Isolate(silent);
  }
  const OperatorCallId call = cluster.Submit(1, "second", first, "two");
  cluster.Run(std::chrono::milliseconds(500));
  BOOST_TEST(cluster.RevisionAt(0).raw() == first.raw() + 1);
  cluster.Restart(0);
  cluster.Isolate(0);
  cluster.Rejoin(2);
  cluster.Isolate(3);
  cluster.Isolate(4);
  cluster.Cut(0, 2);
  cluster.Cut(2, 0);
  // Nodes 1 and 2 hold the revision, the new life of 0 does not: two of five.
  BOOST_TEST(Wait(call).state == ChangeState::kPending);
}

BOOST_AUTO_TEST_CASE(Coordinator_TooLarge_RefusedWithTheSize) {
  const Revision first = cluster.Configure("one");
  const std::string schema(kMaxConfigBytes + 1, 'x');
  const OperatorReply& reply = Wait(cluster.Submit(1, "second", first, schema));
  BOOST_TEST(reply.state == ChangeState::kTooLarge);
  BOOST_TEST(reply.message.find(std::to_string(kMaxConfigBytes)) !=
             std::string::npos);
  BOOST_TEST(Stored().revision.raw() == first.raw());
}

BOOST_AUTO_TEST_CASE(Coordinator_Rollback_IsANewRevisionWithTheOldContent) {
  const Revision first = cluster.Configure("one");
  const Revision second =
      Wait(cluster.Submit(1, "second", first, "two")).revision;
  ConfigChange rollback;
  rollback.operation = OperationId("back");
  rollback.expected = second;
  rollback.rollback_to = first;
  const OperatorReply& reply = Wait(cluster.Submit(2, rollback));
  BOOST_TEST(reply.state == ChangeState::kAccepted);
  BOOST_TEST(reply.revision.raw() == second.raw() + 1);
  BOOST_TEST(Stored().content.schema == "one");
}

// The key vanishes from the store. Made anew it would begin at revision one,
// and every node would ignore it as old.
BOOST_AUTO_TEST_CASE(Coordinator_StoreLostTheKey_RefusedNotRecreated) {
  const Revision first = cluster.Configure("one");
  cluster.store().Erase("config");
  const OperatorReply& reply = Wait(cluster.Submit(1, "second", first, "two"));
  BOOST_TEST(reply.state == ChangeState::kUnavailable);
  BOOST_TEST(cluster.store().ValueOf("config").empty());
}

// One entry alone is its own majority: a change is accepted, and an outage of
// the store does not stop it.
BOOST_AUTO_TEST_CASE(Coordinator_OneNodeAlone_AcceptsAndSurvivesAnOutage) {
  ClusterHarness alone(22);
  alone.Start(1);
  alone.Run(std::chrono::seconds(1));
  BOOST_TEST(alone.Configure("one").raw() == 1U);
  alone.store().faults().down = true;
  alone.Run(std::chrono::seconds(30));
  BOOST_TEST(alone.Serving(0) == ServeState::kServing);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
