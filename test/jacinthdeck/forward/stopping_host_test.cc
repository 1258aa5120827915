// Tests of calls at a host that stops.
#include "jacinthdeck/forward/forwarder_fixture.h"

namespace jacinthdeck {

namespace {

struct StoppingHostFixture : ForwarderFixture {
  static constexpr Duration kUntilLastAnswer = milliseconds(600);

  void BeginStop() {
    forwarder.BeginStop(clock.Now() + kUntilLastAnswer, clock.Now());
  }

  [[nodiscard]] bool IsRefused(std::size_t index) const {
    const ForwardAnswer& answer = port.delivered.at(index).answer;
    return answer.kind == AnswerKind::kNotRun &&
           answer.reason == ForwardReason::kStopping &&
           answer.retry_after == Duration::zero();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(StoppingHostTest, StoppingHostFixture)

// Guards against a call that is still open when its host ends, since its
// deadline is later than that.
BOOST_AUTO_TEST_CASE(OpenCall_TargetDoesNotAnswer_AnsweredBeforeTheHostEnds) {
  (void)Submit("/claim/1", seconds(6));
  Advance(milliseconds(100));
  BeginStop();
  Advance(kUntilLastAnswer);
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kTimedOut));
}

// Guards against a stop that ends a call sooner than it has to.
BOOST_AUTO_TEST_CASE(OpenCall_TargetAnswersBeforeTheHostEnds_IsDelivered) {
  (void)Submit("/claim/1");
  BeginStop();
  Advance(kUntilLastAnswer - milliseconds(20));
  BOOST_TEST(port.delivered.empty());
  Answer(port.sent[0], "body");
  BOOST_TEST(OnlyAnswer().answer.response.body == "body");
}

BOOST_AUTO_TEST_CASE(OpenFanOut_OneShardIsMissing_AnsweredInPart) {
  (void)Submit("/fan/1");
  BeginStop();
  for (std::size_t shard = 1; shard < kShards; ++shard) {
    Answer(port.sent[shard], std::string(16, 'a'));
  }
  Advance(kUntilLastAnswer);
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kMerged));
  BOOST_TEST(OnlyAnswer().answer.missing_parts == 1U);
}

// Guards against a call that is admitted although its host ends before it can
// be answered; another host could have served it.
BOOST_AUTO_TEST_CASE(NewCall_LongerThanTheHostRuns_RefusedForAnotherHost) {
  WarmUp("/read/1", milliseconds(90));
  BeginStop();
  Advance(kUntilLastAnswer - milliseconds(80));
  (void)Submit("/read/2");
  BOOST_TEST(port.sent.empty());
  BOOST_REQUIRE_EQUAL(port.delivered.size(), 1U);
  BOOST_TEST(IsRefused(0));
}

// Guards against a stop that refuses calls which it has time for.
BOOST_AUTO_TEST_CASE(NewCall_ShorterThanTheHostRuns_IsSent) {
  WarmUp("/read/1", milliseconds(90));
  BeginStop();
  (void)Submit("/read/2");
  BOOST_REQUIRE_EQUAL(port.sent.size(), 1U);
  Answer(port.sent[0]);
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kResponse));
}

// Guards against a refusal of calls whose callers leave before the host ends
// anyway.
BOOST_AUTO_TEST_CASE(NewCall_DeadlineIsBeforeTheHostEnds_IsSent) {
  WarmUp("/read/1", milliseconds(90));
  BeginStop();
  Advance(kUntilLastAnswer - milliseconds(200));
  (void)Submit("/read/2", milliseconds(150));
  BOOST_TEST(port.sent.size() == 1U);
}

// Guards against a caller that is told to come back to a stopping host later,
// although another host would serve it at once.
BOOST_AUTO_TEST_CASE(NewCall_HardlyAnyTimeLeft_RefusedForAnotherHost) {
  WarmUp("/read/1", milliseconds(90));
  BeginStop();
  (void)Submit("/read/2");
  Advance(kUntilLastAnswer - milliseconds(30));
  port.delivered.clear();
  (void)Submit("/read/3");
  BOOST_REQUIRE_EQUAL(port.delivered.size(), 1U);
  BOOST_TEST(IsRefused(0));
}

// Guards against a call that ends sooner than at the last answer, and so before
// the last sixth of a grace period below 3 s.
BOOST_AUTO_TEST_CASE(OpenCall_TargetAnswersAtTheLastAnswer_IsDelivered) {
  (void)Submit("/claim/1");
  BeginStop();
  Advance(kUntilLastAnswer - milliseconds(1));
  BOOST_TEST(port.delivered.empty());
}

// Guards against a caller that is told to come back later to a host that stops
// before the call has found a target with room.
BOOST_AUTO_TEST_CASE(OpenCall_NotRunAtTheLastAnswer_RefusedForAnotherHost) {
  std::size_t calls = 0;
  do {
    (void)Submit("/read/" + std::to_string(++calls));
  } while (port.sent.size() == calls);
  // The last call waits for room, which it may do for a part of its objective.
  BOOST_REQUIRE(port.delivered.empty());
  forwarder.BeginStop(clock.Now() + milliseconds(1), clock.Now());
  Advance(milliseconds(1));
  BOOST_REQUIRE_EQUAL(port.delivered.size(), calls);
  std::size_t refused = 0;
  for (std::size_t index = 0; index < calls; ++index) {
    refused += IsRefused(index) ? 1 : 0;
  }
  BOOST_TEST(refused == 1U);
}

// States the inequality of the stop: whatever is submitted, and whenever, has
// its answer by the last one of the host.
BOOST_AUTO_TEST_CASE(Calls_SubmittedAtAnyTimeOfTheStop_AllAnsweredInTime) {
  WarmUp("/read/1", milliseconds(40));
  WarmUp("/fan/1", milliseconds(40));
  BeginStop();
  const TimePoint last_answer = clock.Now() + kUntilLastAnswer;
  std::size_t calls = 0;
  while (clock.Now() <= last_answer) {
    for (const char* path : {"/read/1", "/claim/1", "/fan/1"}) {
      (void)Submit(path, seconds(6));
      ++calls;
    }
    Advance(milliseconds(7));
  }
  BOOST_TEST(port.delivered.size() == calls);
  BOOST_TEST(forwarder.open_calls() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
