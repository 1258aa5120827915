// Tests of the merged state of targets.
#include "jacinthdeck/cluster/target_view.h"

#include <boost/test/unit_test.hpp>

#include "jacinthdeck/core/manual_clock.h"

namespace jacinthdeck {

struct TargetViewFixture {
  TargetViewFixture() { Listed(TargetState::kLive); }

  void Listed(TargetState state) {
    TargetInfo info;
    info.id = target;
    info.address = "10.1.0.1";
    info.port = 4000;
    info.state = state;
    TargetInfo other;
    other.id = TargetId("other");
    view.OnHostList({info, other}, clock.Now());
  }

  [[nodiscard]] bool Is(TargetState state) const {
    return view.StateOf(target) == state;
  }

  ManualClock clock;
  TargetId target{"t-0-a"};
  TargetView view;
};

BOOST_FIXTURE_TEST_SUITE(TargetViewTest, TargetViewFixture)

BOOST_AUTO_TEST_CASE(TargetView_Unknown_IsGone) {
  BOOST_TEST((view.StateOf(TargetId("none")) == TargetState::kGone));
}

// A target refuses a request as draining; host list and health lag and go on
// saying live for seconds. New work would be refused there again and again.
BOOST_AUTO_TEST_CASE(TargetView_DrainingWhileOthersSayLive_StaysLeaving) {
  view.OnEvent(target, TargetEvent::kDraining, clock.Now());
  for (int second = 0; second < 20; ++second) {
    clock.Advance(std::chrono::seconds(1));
    Listed(TargetState::kLive);
    view.OnHealth(target, TargetState::kLive, clock.Now());
    view.OnEvent(target, TargetEvent::kAnswered, clock.Now());
    BOOST_TEST(Is(TargetState::kLeaving));
  }
}

BOOST_AUTO_TEST_CASE(TargetView_LiveEvidenceAfterQuarantine_Returns) {
  view.OnEvent(target, TargetEvent::kDraining, clock.Now());
  clock.Advance(std::chrono::seconds(31));
  BOOST_TEST(Is(TargetState::kLeaving));
  view.OnHealth(target, TargetState::kLive, clock.Now());
  BOOST_TEST(Is(TargetState::kLive));
}

// The host list says leaving, then lags back to a copy that says live.
BOOST_AUTO_TEST_CASE(TargetView_HostListFlapsBack_StaysLeaving) {
  Listed(TargetState::kLeaving);
  clock.Advance(std::chrono::seconds(2));
  Listed(TargetState::kLive);
  BOOST_TEST(Is(TargetState::kLeaving));
}

// Health says leaving, the host list has not noticed. One is enough.
BOOST_AUTO_TEST_CASE(TargetView_HealthLeaving_BeatsTheHostList) {
  view.OnHealth(target, TargetState::kLeaving, clock.Now());
  Listed(TargetState::kLive);
  clock.Advance(std::chrono::hours(1));
  BOOST_TEST(Is(TargetState::kLeaving));
}

BOOST_AUTO_TEST_CASE(TargetView_RefusedConnections_CountAsDeparture) {
  view.OnEvent(target, TargetEvent::kRefused, clock.Now());
  view.OnEvent(target, TargetEvent::kRefused, clock.Now());
  BOOST_TEST(Is(TargetState::kLive));
  view.OnEvent(target, TargetEvent::kRefused, clock.Now());
  BOOST_TEST(Is(TargetState::kLeaving));
}

BOOST_AUTO_TEST_CASE(TargetView_AnswerBetweenRefusals_IsNoDeparture) {
  for (int round = 0; round < 5; ++round) {
    view.OnEvent(target, TargetEvent::kRefused, clock.Now());
    view.OnEvent(target, TargetEvent::kRefused, clock.Now());
    view.OnEvent(target, TargetEvent::kAnswered, clock.Now());
  }
  BOOST_TEST(Is(TargetState::kLive));
}

// The host list comes back empty by a fault of its own. Believed, it would stop
// every service at once.
BOOST_AUTO_TEST_CASE(TargetView_EmptyHostList_IsIgnored) {
  view.OnHostList({}, clock.Now());
  BOOST_TEST(Is(TargetState::kLive));
}

BOOST_AUTO_TEST_CASE(TargetView_NoLongerListed_IsGone) {
  TargetInfo other;
  other.id = TargetId("other");
  view.OnHostList({other}, clock.Now());
  BOOST_TEST(Is(TargetState::kGone));
}

// The departure's target is replaced by another process under the same name at
// another address; it did not depart.
BOOST_AUTO_TEST_CASE(TargetView_NewAddress_StartsAfresh) {
  view.OnEvent(target, TargetEvent::kDraining, clock.Now());
  TargetInfo info;
  info.id = target;
  info.address = "10.1.0.9";
  info.port = 4000;
  view.OnHostList({info}, clock.Now());
  BOOST_TEST(Is(TargetState::kLive));
}

// Host list and store are down for an hour. What the last list said stays good.
BOOST_AUTO_TEST_CASE(TargetView_NoNews_KeepsTheLastState) {
  clock.Advance(std::chrono::hours(1));
  BOOST_TEST(Is(TargetState::kLive));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
