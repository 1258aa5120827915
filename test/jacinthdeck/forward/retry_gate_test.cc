// Tests of the gate that holds the retries of a call for its canary.
#include "jacinthdeck/forward/retry_gate.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

namespace jacinthdeck {

using std::chrono::milliseconds;

struct RetryGateFixture {
  static constexpr AttemptId kCanary{1};
  static constexpr AttemptId kOther{2};

  TimePoint now{std::chrono::hours(1)};
  TimePoint until = now + milliseconds(20);
  RetryGate gate;

  void SendCanary() {
    gate.OnBroken();
    BOOST_REQUIRE(gate.NeedsCanary(now));
    gate.OnCanarySent(kCanary, until);
  }
};

BOOST_FIXTURE_TEST_SUITE(RetryGateTest, RetryGateFixture)

// Guards against a cost for calls of which no attempt broke.
BOOST_AUTO_TEST_CASE(Gate_NothingBroke_HoldsNothing) {
  BOOST_TEST(!gate.OnAnswered(kOther));
  gate.OnHedgeDue();
  BOOST_TEST(!gate.MustWait(now));
  BOOST_TEST(!gate.NeedsCanary(now));
}

BOOST_AUTO_TEST_CASE(Gate_CanaryInFlight_HoldsOthers) {
  SendCanary();
  BOOST_TEST(gate.MustWait(now));
}

// Guards against hedges that end a second target of each shard before the first
// attempts break.
BOOST_AUTO_TEST_CASE(Gate_HedgeDueWithoutAnswer_NeedsCanary) {
  gate.OnHedgeDue();
  BOOST_TEST(gate.NeedsCanary(now));
}

// Guards against calls that wait although the answers of other shards show that
// the request runs, as where many targets lose answers.
BOOST_AUTO_TEST_CASE(Gate_AsManyAnswersAsBreaks_HoldsNothing) {
  SendCanary();
  gate.OnBroken();
  BOOST_TEST(!gate.OnAnswered(kOther));
  BOOST_TEST(gate.MustWait(now));
  BOOST_TEST(gate.OnAnswered(kOther));
  BOOST_TEST(!gate.MustWait(now));
}

BOOST_AUTO_TEST_CASE(Gate_CanaryAnswered_StaysOpen) {
  SendCanary();
  gate.OnBroken();
  BOOST_TEST(gate.OnAnswered(kCanary));
  gate.OnBroken();
  BOOST_TEST(!gate.MustWait(now));
  BOOST_TEST(!gate.NeedsCanary(now));
}

// Guards against a canary at a paused target that holds the call for as long.
BOOST_AUTO_TEST_CASE(Gate_CanaryOverdue_LetsNextCanaryGo) {
  SendCanary();
  BOOST_TEST(!gate.MustWait(until));
  BOOST_TEST(gate.NeedsCanary(until));
}

// Guards against canaries that follow one another while the checks of their
// targets are under way, and end a target each.
BOOST_AUTO_TEST_CASE(Gate_CanaryBroke_HoldsOthersUntilItsLimit) {
  SendCanary();
  gate.OnBroken();
  BOOST_TEST(gate.MustWait(until - milliseconds(1)));
  BOOST_TEST(gate.NeedsCanary(until));
}

BOOST_AUTO_TEST_CASE(Gate_CanaryInconclusive_LetsNextCanaryGo) {
  SendCanary();
  gate.OnInconclusive(kOther);
  BOOST_TEST(gate.MustWait(now));
  gate.OnInconclusive(kCanary);
  BOOST_TEST(gate.NeedsCanary(now));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
