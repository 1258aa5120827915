// Tests of changes of the voters.
#include "jacinthdeck/cluster/voter_keeper.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "support/cluster_harness.h"
#include "support/printers.h"

namespace jacinthdeck {

struct VoterFixture {
  VoterFixture() {
    cluster.Start(5);
    cluster.Run(std::chrono::seconds(5));
    first = cluster.Configure("one");
  }

  [[nodiscard]] const ConfigValue& ValueAt(std::size_t index) {
    return *cluster.node(index).config().value();
  }

  [[nodiscard]] bool Settled(std::size_t viewer,
                             std::size_t subject,
                             bool is_voter) {
    const ConfigValue& value = ValueAt(viewer);
    return value.former_voters.empty() &&
           std::ranges::binary_search(
               value.voters, ClusterHarness::Name(subject)) == is_voter;
  }

  ClusterHarness cluster{41};
  Revision first;
};

BOOST_FIXTURE_TEST_SUITE(VoterKeeperTest, VoterFixture)

BOOST_AUTO_TEST_CASE(Voters_FirstConfiguration_NamesAllLiveMembers) {
  BOOST_TEST(ValueAt(0).voters.size() == 5U);
  BOOST_TEST(ValueAt(0).former_voters.empty());
}

BOOST_AUTO_TEST_CASE(Voters_Joiner_BecomesAVoterAndIsSettled) {
  const std::size_t joiner = cluster.Join();
  const auto settled = cluster.RunUntil(
      [&] { return Settled(0, joiner, true); }, std::chrono::seconds(60));
  BOOST_TEST(settled.has_value());
}

// A host is gone for good. Left among the voters it would count as missing in
// every majority, until too few are left.
BOOST_AUTO_TEST_CASE(Voters_LongDeadMember_IsDropped) {
  cluster.Kill(3);
  cluster.Run(std::chrono::seconds(40));
  BOOST_TEST(Settled(0, 3, true));
  const auto settled = cluster.RunUntil([&] { return Settled(0, 3, false); },
                                        std::chrono::seconds(120));
  BOOST_TEST(settled.has_value());
}

// The voters change between an operator's read and write. It is no conflict:
// nothing that the operator wrote has changed.
BOOST_AUTO_TEST_CASE(Voters_Changed_OperatorsExpectedRevisionStillGood) {
  (void)cluster.Join();
  cluster.Run(std::chrono::seconds(60));
  BOOST_TEST(cluster.RevisionAt(0) > first);
  const OperatorCallId call = cluster.Submit(2, "second", first, "two");
  (void)cluster.RunUntil([&] { return cluster.ReplyTo(call) != nullptr; },
                         std::chrono::seconds(15));
  BOOST_REQUIRE(cluster.ReplyTo(call) != nullptr);
  BOOST_TEST(cluster.ReplyTo(call)->state == ChangeState::kAccepted);
}

// One node is cut off from its peers but not from the store, and thinks all of
// them dead. Were it to drop them, the others would need its word for every
// majority in the next outage.
BOOST_AUTO_TEST_CASE(Voters_IsolatedNodeWithTheStore_DropsNobody) {
  cluster.Isolate(0);
  for (int second = 0; second < 180; ++second) {
    cluster.Run(std::chrono::seconds(1));
    BOOST_REQUIRE((ValueAt(0).voters.size() >= 4U));
  }
}

// A change of the voters is under way when the store goes down: the lists stay
// unsettled, and a majority of both goes on serving.
BOOST_AUTO_TEST_CASE(Voters_OutageWhileUnsettled_MajorityOfBothServes) {
  (void)cluster.Join();
  (void)cluster.RunUntil([&] { return !ValueAt(0).former_voters.empty(); },
                         std::chrono::seconds(60));
  cluster.store().faults().down = true;
  cluster.Run(std::chrono::seconds(30));
  BOOST_TEST(!ValueAt(0).former_voters.empty());
  for (std::size_t index = 0; index < cluster.size(); ++index) {
    BOOST_TEST(cluster.Serving(index) == ServeState::kServing);
  }
  cluster.store().faults().down = false;
  const auto settled =
      cluster.RunUntil([&] { return ValueAt(0).former_voters.empty(); },
                       std::chrono::seconds(60));
  BOOST_TEST(settled.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
