// Tests of a call without faults, and of deadlines, retries and hedges.
#include "jacinthdeck/query/engine.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "engine_fixture.h"

namespace jacinthdeck {

BOOST_FIXTURE_TEST_SUITE(EngineTest, EngineFixture)

BOOST_AUTO_TEST_CASE(Engine_EveryShardAnswers_AnswerIsWholeOfOneVersion) {
  (void)Submit(Search());
  BOOST_TEST(effects.sends.size() == kShards);
  AnswerAll();
  const Answer& answer = OnlyAnswer();
  BOOST_TEST((answer.outcome == Outcome::kWhole));
  BOOST_TEST((answer.version == IndexVersion(7)));
  BOOST_TEST(answer.hits.size() == kShards);
  BOOST_TEST((answer.covered == std::vector{KeyRange{0, kKeySpaceEnd}}));
  BOOST_TEST(engine.open_calls() == 0U);
  BOOST_TEST(!engine.NextTimer().has_value());
}

// One shard never answers. The caller gets a partial answer at its deadline
// that lists exactly the missing range, and the attempts of the shard are
// cancelled.
BOOST_AUTO_TEST_CASE(Engine_OneShardUnresponsive_PartialNamesTheRange) {
  (void)Submit(Search());
  for (const SendAttempt& send : TakeSends()) {
    if (send.range != Range(2)) {
      Reply(Answered(send));
    }
  }
  Advance(kDeadline);
  const Answer& answer = OnlyAnswer();
  BOOST_TEST((answer.outcome == Outcome::kPartial));
  BOOST_TEST((answer.reason == AnswerReason::kDeadline));
  BOOST_TEST((answer.missing == std::vector{Range(2)}));
  BOOST_TEST(
      (answer.covered == std::vector{KeyRange{0, Range(1).end}, Range(3)}));
  BOOST_TEST(effects.cancels.size() == answer.hedges + 1);
}

// A target is slow. After the router's hedge delay, a hedge goes to another
// replica. Its answer wins; the first attempt is cancelled, and its late answer
// is dropped.
BOOST_AUTO_TEST_CASE(Engine_SlowTarget_HedgeWinsAndLoserIsCancelled) {
  (void)Submit(Search());
  const auto sends = TakeSends();
  for (std::size_t i = 1; i < sends.size(); ++i) {
    Reply(Answered(sends[i]));
  }
  Advance(router.HedgeDelay(service));
  const auto hedges = TakeSends();
  BOOST_REQUIRE(hedges.size() == 1);
  BOOST_TEST((hedges[0].kind == AttemptKind::kHedge));
  BOOST_TEST((hedges[0].target != sends[0].target));
  Reply(Answered(hedges[0]));
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kWhole));
  BOOST_TEST(OnlyAnswer().hedges == 1U);
  BOOST_REQUIRE(effects.cancels.size() == 1);
  BOOST_TEST((effects.cancels[0].attempt == sends[0].attempt));
  Reply(Answered(sends[0]));
  BOOST_TEST(effects.answers.size() == 1);
  BOOST_TEST(engine.counters().late_replies == 1U);
}

// A hedge wins, and the first attempt answers too while other shards are open.
// Counted as the answer of another shard, it would end the call too early.
BOOST_AUTO_TEST_CASE(Engine_LoserAnswersWhileCallIsOpen_CountsOnce) {
  Method count = Search();
  count.merge = MergeRule::kCount;
  (void)Submit(count);
  const auto sends = TakeSends();
  Reply(Answered(sends[1]));
  Reply(Answered(sends[2]));
  Advance(router.HedgeDelay(service));
  const auto hedges = TakeSends();
  BOOST_REQUIRE(!hedges.empty());
  const auto loser =
      std::ranges::find(sends, hedges[0].range, &SendAttempt::range);
  Reply(Answered(hedges[0]));
  Reply(Answered(*loser));
  BOOST_TEST(effects.answers.empty());
  Reply(Answered(loser == sends.begin() ? sends[3] : sends[0]));
  BOOST_TEST(OnlyAnswer().count == kShards);
}

BOOST_AUTO_TEST_CASE(Engine_TargetSheds_ShardIsRetriedElsewhere) {
  (void)Submit(Search());
  const auto sends = TakeSends();
  End(sends[0], AttemptStatus::kShed);
  const auto retries = TakeSends();
  BOOST_REQUIRE(retries.size() == 1);
  BOOST_TEST((retries[0].kind == AttemptKind::kRetry));
  BOOST_TEST((retries[0].target != sends[0].target));
}

// All replicas of a shard fail every request at once. The caller gets the
// partial answer when the retry limit is reached, not at its deadline.
BOOST_AUTO_TEST_CASE(Engine_ShardKeepsFailing_PartialIsAnsweredAtOnce) {
  (void)Submit(Search());
  const TimePoint start = clock.Now();
  for (int round = 0; round < 20; ++round) {
    for (const SendAttempt& send : TakeSends()) {
      if (send.range == Range(0)) {
        End(send, AttemptStatus::kFailed);
      } else {
        Reply(Answered(send));
      }
    }
    Advance(std::chrono::milliseconds(5));
  }
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kPartial));
  BOOST_TEST((OnlyAnswer().reason == AnswerReason::kTargetFailed));
  BOOST_TEST(OnlyAnswer().retry_after.has_value());
  BOOST_TEST(OnlyAnswer().retries <= 3U);
  BOOST_TEST((clock.Now() < start + kDeadline));
}

// A target does not answer and the other replicas are busy. A hedge never waits
// for capacity, but a retry does. Without the retry, the shard would be missing
// from the answer.
BOOST_AUTO_TEST_CASE(Engine_TargetHangsAndOthersBusy_RetryWaitsForCapacity) {
  for (TargetInfo& target : targets) {
    target.connections = 1;
  }
  EngineFixture tight;
  tight.router = Router(1);
  tight.router.SetTargets(targets, tight.clock.Now());
  Method lookup = Claim();
  lookup.repeat = Repeat::kIdempotent;
  for (std::size_t i = 0; i < kReplicas; ++i) {
    (void)tight.Submit(lookup);
  }
  const auto sends = tight.TakeSends();
  BOOST_REQUIRE(sends.size() == kReplicas);
  tight.Advance(kDeadline * 4 / 5);
  BOOST_TEST(tight.effects.sends.empty());
  tight.Reply(Answered(sends[1]));
  BOOST_REQUIRE(!tight.effects.sends.empty());
  BOOST_TEST((tight.effects.sends[0].kind == AttemptKind::kRetry));
  BOOST_TEST((tight.effects.sends[0].target == sends[1].target));
}

// Every target is at its limit of attempts in flight. The next attempt waits
// and is sent when an attempt of another call finishes.
BOOST_AUTO_TEST_CASE(Engine_TargetsAtLimit_AttemptWaitsForCapacity) {
  std::vector<SendAttempt> running;
  for (int i = 0; i < 200; ++i) {
    Call call = MakeCall(Claim());
    (void)Submit(std::move(call));
    const auto sends = TakeSends();
    if (sends.empty()) {
      break;
    }
    running.insert(running.end(), sends.begin(), sends.end());
  }
  BOOST_REQUIRE(running.size() < 200U);
  BOOST_TEST(effects.answers.empty());
  Reply(Answered(running[0]));
  BOOST_TEST(effects.answers.size() == 1U);
  BOOST_REQUIRE(effects.sends.size() == 1U);
  BOOST_TEST((effects.sends[0].target == running[0].target));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
