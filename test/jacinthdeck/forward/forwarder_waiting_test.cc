// Tests of forwarded calls that wait until their targets have room.
#include "jacinthdeck/forward/forwarder.h"
#include "jacinthdeck/forward/forwarder_fixture.h"

namespace jacinthdeck {

/*! \brief Forwarder whose targets report long queues, so that further calls
 * wait. */
struct ForwarderWaitingFixture : ForwarderFixture {
  ForwarderWaitingFixture() : ForwarderFixture(WaitingOptions()) {
    WarmUp("/read/1", milliseconds(40));
    ReportLoadOfAllTargets(LoadReport{3, 18, 3, 1}, milliseconds(40));
  }

  [[nodiscard]] static ForwardOptions WaitingOptions() {
    ForwardOptions options = Options();
    options.wait_rule = WaitRule::kAlways;
    return options;
  }
};

BOOST_FIXTURE_TEST_SUITE(ForwarderWaitingTest, ForwarderWaitingFixture)

// Guards against a refusal of a call whose targets have room a moment later.
BOOST_AUTO_TEST_CASE(Overload_OverSoon_CallStartsAfterWait) {
  (void)Submit("/read/next");
  BOOST_TEST(port.sent.empty());
  BOOST_TEST(port.delivered.empty());
  BOOST_TEST(forwarder.waiting_calls() == 1U);
  ReportLoadOfAllTargets(LoadReport{0, 0, 3, 1}, milliseconds(5));
  Advance(milliseconds(10));
  BOOST_TEST(forwarder.waiting_calls() == 0U);
  BOOST_TEST(forwarder.counters().started_after_wait >= 1U);
}

// Guards against a caller that hears nothing: a call for which there is no room
// is answered "not run" before its deadline, and no target gets it.
BOOST_AUTO_TEST_CASE(Overload_Lasts_AnsweredNotRunBeforeItsDeadline) {
  const CallId id = Submit("/read/next", milliseconds(200));
  for (int i = 0; i < 50 && port.delivered.empty(); ++i) {
    Advance(milliseconds(10));
  }
  BOOST_TEST((OnlyAnswer().call == id));
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kNotRun));
  BOOST_TEST((OnlyAnswer().trace.waited > Duration::zero()));
  BOOST_TEST((OnlyAnswer().trace.waited < milliseconds(200)));
  BOOST_TEST(port.sent.empty());
}

// Guards against work for a caller that has left.
BOOST_AUTO_TEST_CASE(Abandon_WaitingCall_NeverStarts) {
  const CallId id = Submit("/read/next");
  BOOST_REQUIRE(forwarder.waiting_calls() == 1U);
  forwarder.Abandon(id, clock.Now());
  BOOST_TEST(forwarder.waiting_calls() == 0U);
  BOOST_TEST(forwarder.counters().abandoned == 1U);
  Advance(seconds(2));
  BOOST_TEST(port.sent.empty());
  BOOST_TEST(port.delivered.empty());
}

// Guards against a call that still waits when its host ends.
BOOST_AUTO_TEST_CASE(HostStops_CallWaits_RefusedForAnotherHost) {
  (void)Submit("/read/next");
  BOOST_REQUIRE(forwarder.waiting_calls() == 1U);
  forwarder.BeginStop(clock.Now() + milliseconds(150), clock.Now());
  Advance(milliseconds(150));
  BOOST_TEST((OnlyAnswer().answer.reason == ForwardReason::kStopping));
  BOOST_TEST(port.sent.empty());
}

// Guards against a wait for a call that is known to be lost: without a target
// it is refused at once.
BOOST_AUTO_TEST_CASE(Submit_NoTarget_RefusedAtOnce) {
  forwarder.SetTargets({}, clock.Now());
  (void)Submit("/read/next");
  BOOST_TEST((OnlyAnswer().answer.reason == ForwardReason::kNoTarget));
}

// The same with too little time for an answer once it would start: less than
// one objective is left.
BOOST_AUTO_TEST_CASE(Submit_TooLittleTimeLeft_RefusedAtOnce) {
  (void)Submit("/read/next", milliseconds(90));
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kNotRun));
  BOOST_TEST(forwarder.waiting_calls() == 0U);
}

// Guards against a change of deployments without accounts, whose calls are
// refused as before.
BOOST_AUTO_TEST_CASE(Submit_NoAccounts_RefusedByDefault) {
  BOOST_TEST((ForwardOptions().wait_rule == WaitRule::kWithAccounts));
  BOOST_TEST(Config(2)->tenants()->empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
