// Tests of the order between statements about a member.
#include "jacinthdeck/cluster/member_table.h"

#include <boost/test/unit_test.hpp>

#include "jacinthdeck/core/manual_clock.h"
#include "support/printers.h"

namespace jacinthdeck {

struct MemberTableFixture {
  MemberTableFixture() {
    clock.Advance(std::chrono::hours(1));
    for (const char* name : {"b", "c", "d"}) {
      (void)table.Merge(Says(name, 1, MemberHealth::kAlive), clock.Now());
    }
  }

  [[nodiscard]] static SelfInfo Self() {
    SelfInfo self;
    self.node = NodeId("a");
    self.incarnation = Incarnation(5);
    return self;
  }

  [[nodiscard]] static MemberUpdate Says(
      const std::string& node,
      std::uint64_t incarnation,
      MemberHealth health,
      const std::vector<std::string>& accusers = {}) {
    MemberUpdate update;
    update.node = NodeId(node);
    update.incarnation = Incarnation(incarnation);
    update.health = health;
    for (const std::string& accuser : accusers) {
      update.accusers.emplace_back(accuser);
    }
    return update;
  }

  [[nodiscard]] MemberState StateOf(const std::string& node) const {
    return table.StateOf(NodeId(node), clock.Now());
  }

  ManualClock clock;
  ClusterOptions options;
  MemberTable table{Self(), options};
};

BOOST_FIXTURE_TEST_SUITE(MemberTableTest, MemberTableFixture)

BOOST_AUTO_TEST_CASE(MemberTable_Seed_IsUnprovenUntilHeard) {
  table.AddSeed(SeedSource::kHostList, {NodeId("e"), {}, {}, false});
  BOOST_TEST(StateOf("e") == MemberState::kUnproven);
  (void)table.Heard(NodeId("e"), Incarnation(1), clock.Now());
  BOOST_TEST(StateOf("e") == MemberState::kLive);
}

// One node with a broken link accuses a member. Believed alone, it could take
// every entry out of the answers.
BOOST_AUTO_TEST_CASE(MemberTable_OneForeignAccuser_NeitherSuspectNorDead) {
  (void)table.Merge(Says("b", 1, MemberHealth::kDead, {"c"}), clock.Now());
  BOOST_TEST(StateOf("b") == MemberState::kLive);
  clock.Advance(std::chrono::minutes(1));
  BOOST_TEST(table.Expire(clock.Now()).empty());
  BOOST_TEST(StateOf("b") == MemberState::kLive);
}

BOOST_AUTO_TEST_CASE(MemberTable_TwoAccusers_DeadAfterTheSuspicion) {
  (void)table.Merge(Says("b", 1, MemberHealth::kSuspect, {"c"}), clock.Now());
  (void)table.Accuse(NodeId("b"), NodeId("a"), clock.Now());
  BOOST_TEST(StateOf("b") == MemberState::kSuspect);
  BOOST_TEST(table.Expire(clock.Now()).empty());
  clock.Advance(table.SuspicionTime());
  BOOST_TEST(table.Expire(clock.Now()).size() == 1U);
  BOOST_TEST(StateOf("b") == MemberState::kDead);
}

BOOST_AUTO_TEST_CASE(MemberTable_Refutation_ClearsTheSuspicion) {
  (void)table.Merge(Says("b", 1, MemberHealth::kSuspect, {"c", "d"}),
                    clock.Now());
  BOOST_TEST(StateOf("b") == MemberState::kSuspect);
  MemberUpdate refuted = Says("b", 1, MemberHealth::kAlive);
  refuted.refutation = 1;
  (void)table.Merge(refuted, clock.Now());
  BOOST_TEST(StateOf("b") == MemberState::kLive);
}

// An accusation that was refuted arrives late, by another way.
BOOST_AUTO_TEST_CASE(MemberTable_OldAccusationAfterRefutation_IsIgnored) {
  MemberUpdate refuted = Says("b", 1, MemberHealth::kAlive);
  refuted.refutation = 1;
  (void)table.Merge(refuted, clock.Now());
  const MergeResult result =
      table.Merge(Says("b", 1, MemberHealth::kDead, {"c", "d"}), clock.Now());
  BOOST_TEST((result == MergeResult::kIgnored));
  BOOST_TEST(StateOf("b") == MemberState::kLive);
}

BOOST_AUTO_TEST_CASE(MemberTable_AccusationOfItself_IsToBeRefuted) {
  const MemberUpdate accused = Says("a", 5, MemberHealth::kSuspect, {"b"});
  BOOST_TEST((table.Merge(accused, clock.Now()) == MergeResult::kRefute));
  BOOST_TEST(table.Refute(accused).refutation == 1U);
  BOOST_TEST((table.Merge(accused, clock.Now()) == MergeResult::kIgnored));
}

// A former life's message arrives after the restart.
BOOST_AUTO_TEST_CASE(MemberTable_MessageOfAFormerLife_IsFenced) {
  (void)table.Heard(NodeId("b"), Incarnation(2), clock.Now());
  BOOST_TEST(!table.Heard(NodeId("b"), Incarnation(1), clock.Now()));
  const MergeResult result =
      table.Merge(Says("b", 1, MemberHealth::kDead, {"c", "d"}), clock.Now());
  BOOST_TEST((result == MergeResult::kIgnored));
}

// A node that leaves is told of as live by a peer that has not heard. Taken
// back, callers would be sent to it again.
BOOST_AUTO_TEST_CASE(MemberTable_LeavingThenAlive_StaysLeaving) {
  MemberUpdate leaving = Says("b", 1, MemberHealth::kAlive);
  leaving.leaving = true;
  (void)table.Merge(leaving, clock.Now());
  MemberUpdate alive = Says("b", 1, MemberHealth::kAlive);
  alive.refutation = 3;
  (void)table.Merge(alive, clock.Now());
  BOOST_TEST(StateOf("b") == MemberState::kLeaving);
  (void)table.Heard(NodeId("b"), Incarnation(2), clock.Now());
  BOOST_TEST(StateOf("b") == MemberState::kLive);
}

BOOST_AUTO_TEST_CASE(MemberTable_HostListLeaving_BeatsLive) {
  table.AddSeed(SeedSource::kHostList, {NodeId("b"), {}, {}, true});
  BOOST_TEST(StateOf("b") == MemberState::kLeaving);
  table.AddSeed(SeedSource::kHostList, {NodeId("b"), {}, {}, false});
  BOOST_TEST(StateOf("b") == MemberState::kLive);
}

BOOST_AUTO_TEST_CASE(MemberTable_DeathThenReturn_IsHeldBack) {
  (void)table.Merge(Says("b", 1, MemberHealth::kDead, {"c", "d"}), clock.Now());
  BOOST_TEST(StateOf("b") == MemberState::kDead);
  (void)table.Heard(NodeId("b"), Incarnation(2), clock.Now());
  (void)table.Merge(Says("b", 2, MemberHealth::kDead, {"c", "d"}), clock.Now());
  (void)table.Heard(NodeId("b"), Incarnation(3), clock.Now());
  BOOST_TEST(StateOf("b") == MemberState::kSuspect);
  clock.Advance(options.flap_hold);
  BOOST_TEST(StateOf("b") == MemberState::kLive);
}

// Only two nodes are left and one of them dies: there is no second accuser.
BOOST_AUTO_TEST_CASE(MemberTable_NoThirdMember_OneAccuserIsEnough) {
  for (const char* name : {"c", "d"}) {
    (void)table.Merge(Says(name, 1, MemberHealth::kDead, {"x", "y"}),
                      clock.Now());
  }
  (void)table.Accuse(NodeId("b"), NodeId("a"), clock.Now());
  clock.Advance(table.SuspicionTime());
  BOOST_TEST(table.Expire(clock.Now()).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
