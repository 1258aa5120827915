// Tests of failure detection among several cores.
#include "jacinthdeck/cluster/membership.h"

#include <boost/test/unit_test.hpp>

#include "support/cluster_harness.h"
#include "support/printers.h"

namespace jacinthdeck {

struct MembershipFixture {
  [[nodiscard]] bool AllSee(std::size_t subject, MemberState state) {
    for (std::size_t viewer = 0; viewer < cluster.size(); ++viewer) {
      if (viewer != subject && cluster.running(viewer) &&
          cluster.Sees(viewer, subject) != state) {
        return false;
      }
    }
    return true;
  }

  void StartAndMeet(std::size_t count) {
    cluster.Start(count);
    const auto met = cluster.RunUntil(
        [&] {
          for (std::size_t index = 0; index < count; ++index) {
            if (!AllSee(index, MemberState::kLive)) {
              return false;
            }
          }
          return true;
        },
        std::chrono::seconds(20));
    BOOST_REQUIRE(met.has_value());
  }

  ClusterHarness cluster{11};
};

BOOST_FIXTURE_TEST_SUITE(MembershipTest, MembershipFixture)

// A host fails without a word. Callers go on being sent to it until the entries
// agree that it is gone; a probe fails, others fail too, the suspicion runs
// out.
BOOST_AUTO_TEST_CASE(Membership_NodeDies_AllSeeItDeadInSeconds) {
  StartAndMeet(8);
  cluster.Kill(3);
  const auto took = cluster.RunUntil(
      [&] { return AllSee(3, MemberState::kDead); }, std::chrono::seconds(15));
  BOOST_TEST(took.has_value());
}

// The link from one node to another is cut, one way. The first sees the second
// silent, but others reach it: without indirect probes the two would accuse and
// refute for ever, and the view would oscillate.
BOOST_AUTO_TEST_CASE(Membership_OneWayCut_NobodyChangesState) {
  StartAndMeet(6);
  (void)cluster.state_changes(0, 1);
  (void)cluster.state_changes(1, 0);
  (void)cluster.state_changes(2, 1);
  cluster.Cut(1, 0);
  cluster.Run(std::chrono::seconds(60));
  BOOST_TEST(cluster.state_changes(0, 1) == 0U);
  BOOST_TEST(cluster.state_changes(1, 0) == 0U);
  BOOST_TEST(cluster.state_changes(2, 1) == 0U);
}

// One node hears nobody, yet is heard. It accuses everybody; the others must
// not take each other out of the answers on the word of that one node.
BOOST_AUTO_TEST_CASE(Membership_DeafNode_OthersStayLive) {
  StartAndMeet(6);
  for (std::size_t other = 1; other < 6; ++other) {
    cluster.Cut(other, 0);
    (void)cluster.state_changes(1, other == 1 ? 2 : other);
  }
  cluster.Run(std::chrono::seconds(60));
  for (std::size_t other = 2; other < 6; ++other) {
    BOOST_TEST(cluster.state_changes(1, other) == 0U);
  }
  BOOST_TEST(AllSee(2, MemberState::kLive) == false);
  BOOST_TEST(cluster.Sees(1, 0) == MemberState::kDead);
  for (std::size_t other = 1; other < 6; ++other) {
    cluster.Heal(other, 0);
  }
  const auto back = cluster.RunUntil(
      [&] { return AllSee(0, MemberState::kLive); }, std::chrono::seconds(60));
  BOOST_TEST(back.has_value());
}

// A link flaps: up for four seconds, down for twelve. Each return would send
// callers to a node that is about to vanish again. Each return is held back for
// longer, so the number of changes grows far slower than that of the flaps.
BOOST_AUTO_TEST_CASE(Membership_FlappingNode_ViewSettles) {
  StartAndMeet(5);
  (void)cluster.state_changes(0, 4);
  constexpr int kFlaps = 20;
  for (int flap = 0; flap < kFlaps; ++flap) {
    cluster.Isolate(4);
    cluster.Run(std::chrono::seconds(12));
    cluster.Rejoin(4);
    cluster.Run(std::chrono::seconds(4));
  }
  int live = 0;
  for (int flap = 0; flap < kFlaps; ++flap) {
    cluster.Isolate(4);
    cluster.Run(std::chrono::seconds(12));
    cluster.Rejoin(4);
    cluster.Run(std::chrono::seconds(4));
    live += cluster.Sees(0, 4) == MemberState::kLive ? 1 : 0;
  }
  BOOST_TEST(live == 0);
}

// A process is stopped for eight seconds and wakes. It has read no answers
// meanwhile; without the check of the clock it would accuse its peers, and they
// would go out of its answers.
BOOST_AUTO_TEST_CASE(Membership_PausedNodeWakes_AccusesNobody) {
  StartAndMeet(6);
  for (std::size_t other = 1; other < 6; ++other) {
    (void)cluster.state_changes(0, other);
  }
  cluster.Pause(0);
  cluster.Run(std::chrono::seconds(8));
  cluster.Resume(0);
  cluster.Run(std::chrono::seconds(5));
  for (std::size_t other = 1; other < 6; ++other) {
    BOOST_TEST(cluster.state_changes(0, other) == 0U);
  }
  const auto back = cluster.RunUntil(
      [&] { return AllSee(0, MemberState::kLive); }, std::chrono::seconds(30));
  BOOST_TEST(back.has_value());
}

BOOST_AUTO_TEST_CASE(Membership_RestartedNode_IsSeenAsANewLife) {
  StartAndMeet(5);
  cluster.Restart(2);
  const auto seen = cluster.RunUntil(
      [&] {
        for (std::size_t viewer : {0, 1, 3, 4}) {
          const Member* member =
              cluster.node(viewer).members().Find(ClusterHarness::Name(2));
          if (member->latest.incarnation != Incarnation(2)) {
            return false;
          }
        }
        return AllSee(2, MemberState::kLive);
      },
      std::chrono::seconds(20));
  BOOST_TEST(seen.has_value());
}

// A datacentre link is cut for long, and each half declares the other dead.
// Nobody probes the dead but for the occasional try; without it the halves
// would stay apart for ever.
BOOST_AUTO_TEST_CASE(Membership_HalvesCutAndHealed_FindEachOtherAgain) {
  StartAndMeet(6);
  for (std::size_t left = 0; left < 3; ++left) {
    for (std::size_t right = 3; right < 6; ++right) {
      cluster.Cut(left, right);
      cluster.Cut(right, left);
    }
  }
  cluster.Run(std::chrono::seconds(30));
  BOOST_TEST(cluster.Sees(0, 4) == MemberState::kDead);
  for (std::size_t left = 0; left < 3; ++left) {
    for (std::size_t right = 3; right < 6; ++right) {
      cluster.Heal(left, right);
      cluster.Heal(right, left);
    }
  }
  const auto back = cluster.RunUntil(
      [&] {
        return AllSee(4, MemberState::kLive) && AllSee(1, MemberState::kLive);
      },
      std::chrono::seconds(60));
  BOOST_TEST(back.has_value());
}

// A node says that it leaves and goes on running to finish its work. It must
// go out of the answers within seconds and must not come back as live.
BOOST_AUTO_TEST_CASE(Membership_LeavingNode_IsSeenLeavingAndStaysSo) {
  StartAndMeet(8);
  cluster.Leave(5);
  const auto seen =
      cluster.RunUntil([&] { return AllSee(5, MemberState::kLeaving); },
                       std::chrono::seconds(4));
  BOOST_TEST(seen.has_value());
  cluster.Run(std::chrono::seconds(30));
  BOOST_TEST(AllSee(5, MemberState::kLeaving));
}

BOOST_AUTO_TEST_CASE(Membership_FivePercentLoss_NoFalseDeath) {
  StartAndMeet(8);
  cluster.set_loss(0.05);
  for (std::size_t subject = 0; subject < 8; ++subject) {
    (void)cluster.state_changes((subject + 1) % 8, subject);
  }
  for (int second = 0; second < 120; ++second) {
    cluster.Run(std::chrono::seconds(1));
    for (std::size_t subject = 0; subject < 8; ++subject) {
      BOOST_REQUIRE(
          (cluster.Sees((subject + 1) % 8, subject) != MemberState::kDead));
    }
  }
}

BOOST_AUTO_TEST_CASE(Membership_Joiner_LearnsAllAndIsLearnedByAll) {
  StartAndMeet(8);
  const std::size_t joiner = cluster.Join();
  const auto known = cluster.RunUntil(
      [&] {
        for (std::size_t other = 0; other < 8; ++other) {
          if (cluster.Sees(joiner, other) != MemberState::kLive) {
            return false;
          }
        }
        return AllSee(joiner, MemberState::kLive);
      },
      std::chrono::seconds(15));
  BOOST_TEST(known.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
