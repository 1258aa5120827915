// Tests of the replica choice strategies.
#include "jacinthdeck/routing/replica_chooser.h"

#include <array>
#include <boost/test/unit_test.hpp>

namespace jacinthdeck {

struct ReplicaChooserFixture {
  [[nodiscard]] std::array<int, 3> Pick(const ReplicaChooser& chooser) {
    std::array<int, 3> picks{};
    for (int i = 0; i < 3000; ++i) {
      ++picks.at(chooser.Pick(replicas, random));
    }
    return picks;
  }

  Random random{1};
  std::array<ReplicaView, 3> replicas;
  ScoreChooser score;
};

BOOST_FIXTURE_TEST_SUITE(ReplicaChooserTest, ReplicaChooserFixture)

BOOST_AUTO_TEST_CASE(Pick_EqualReplicas_ArePickedEvenly) {
  const RandomChooser any;
  const LeastInFlightChooser least;
  const std::array<const ReplicaChooser*, 3> choosers{&any, &least, &score};
  for (const ReplicaChooser* chooser : choosers) {
    for (const int picks : Pick(*chooser)) {
      BOOST_TEST(picks > 850);
      BOOST_TEST(picks < 1150);
    }
  }
}

BOOST_AUTO_TEST_CASE(LeastInFlight_OneIdleReplica_IsPicked) {
  replicas[0].in_flight = 1;
  replicas[2].in_flight = 2;
  BOOST_TEST(Pick(LeastInFlightChooser())[1] == 3000);
}

// A stuck target reports no load, and the others report full load. If reports
// were trusted, every request would go to the stuck target. Two requests in
// flight must weigh more than any report.
BOOST_AUTO_TEST_CASE(Score_FalseLoadReports_InFlightCountDecides) {
  replicas[0].in_flight = 2;
  replicas[1].load_hint = 1;
  replicas[2].load_hint = 1;
  BOOST_TEST(Pick(score)[0] == 0);
}

BOOST_AUTO_TEST_CASE(Score_LatencyWithinNoise_DoesNotDecide) {
  replicas[0].relative_latency = 1.4;
  replicas[1].relative_latency = 0.7;
  BOOST_TEST(Pick(score)[0] > 850);
}

BOOST_AUTO_TEST_CASE(Score_SlowOrFailingReplica_IsNotPicked) {
  replicas[0].relative_latency = 3;
  replicas[1].bad_attempt_rate = 0.6;
  BOOST_TEST(Pick(score)[2] == 3000);
}

BOOST_AUTO_TEST_CASE(Score_DomainOfAnEarlierAttempt_IsAvoided) {
  replicas[0].shares_domain = true;
  BOOST_TEST(Pick(score)[0] == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
