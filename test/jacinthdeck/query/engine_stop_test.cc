// Tests of typed calls at a host that stops.
#include "engine_fixture.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct StoppingEngineFixture : EngineFixture {
  static constexpr Duration kUntilLastAnswer = milliseconds(600);

  void BeginStop() {
    engine.BeginStop(clock.Now() + kUntilLastAnswer, clock.Now(), effects);
  }

  CallId SubmitLong(const Method& method) {
    Call call = MakeCall(method);
    call.deadline = clock.Now() + seconds(6);
    return Submit(std::move(call));
  }

  //! Submits calls that are answered after 100 ms, so that their latency is
  //! measured.
  void WarmUp() {
    for (int i = 0; i < 64; ++i) {
      (void)Submit(Search());
      Advance(milliseconds(100));
      AnswerAll();
    }
    effects.answers.clear();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(EngineStopTest, StoppingEngineFixture)

// Guards against a typed call that is still open when its host ends, since its
// deadline is later than that.
BOOST_AUTO_TEST_CASE(OpenCall_TargetsDoNotAnswer_AnsweredBeforeTheHostEnds) {
  (void)SubmitLong(Search());
  BeginStop();
  Advance(kUntilLastAnswer);
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kUnknown));
  BOOST_TEST(engine.open_calls() == 0U);
}

// Guards against a stop that ends a typed call sooner than it has to.
BOOST_AUTO_TEST_CASE(OpenCall_TargetsAnswerBeforeTheHostEnds_IsWhole) {
  (void)SubmitLong(Search());
  BeginStop();
  Advance(kUntilLastAnswer - milliseconds(10));
  BOOST_TEST(effects.answers.empty());
  AnswerAll();
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kWhole));
}

// Guards against a typed call that is admitted although its host ends before it
// can be answered.
BOOST_AUTO_TEST_CASE(NewCall_LongerThanTheHostRuns_RefusedForAnotherHost) {
  WarmUp();
  BeginStop();
  Advance(kUntilLastAnswer - milliseconds(50));
  (void)SubmitLong(Search());
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kNotRun));
  BOOST_TEST((OnlyAnswer().reason == AnswerReason::kDraining));
  BOOST_TEST((OnlyAnswer().retry_after == Duration::zero()));
}

// Guards against typed calls that wait in the queue when their host ends.
BOOST_AUTO_TEST_CASE(WaitingCalls_HostEnds_RefusedBeforeTheHostEnds) {
  std::size_t calls = 0;
  for (; calls < 1000 && engine.waiting_calls() == 0; ++calls) {
    (void)SubmitLong(Search());
  }
  BOOST_REQUIRE(engine.waiting_calls() > 0U);
  BeginStop();
  Advance(kUntilLastAnswer);
  BOOST_TEST(engine.open_calls() == 0U);
  BOOST_TEST(effects.answers.size() == calls);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
