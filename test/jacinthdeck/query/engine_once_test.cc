// Tests of requests that may run at most once, and of the outcomes "not run"
// and "unknown".
#include <boost/test/unit_test.hpp>

#include "engine_fixture.h"

namespace jacinthdeck {

struct OnceFixture : EngineFixture {
  CallId call = Submit(Claim());
  std::vector<SendAttempt> sends = TakeSends();
};

BOOST_FIXTURE_TEST_SUITE(EngineOnceTest, OnceFixture)

// The connection is lost after a claim was sent, so the claim may have run. The
// caller gets kUnknown at once without a retry_after, and the engine does not
// send the claim again.
BOOST_AUTO_TEST_CASE(Engine_ClaimLost_UnknownAtOnceAndNeverSentAgain) {
  End(sends[0], AttemptStatus::kLost);
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kUnknown));
  BOOST_TEST(!OnlyAnswer().retry_after.has_value());
  Advance(kDeadline);
  BOOST_TEST(effects.sends.empty());
}

// After each status with which the claim may have run, it is not sent again.
BOOST_AUTO_TEST_CASE(Engine_ClaimMayHaveRun_NoSecondAttempt) {
  for (const AttemptStatus status :
       {AttemptStatus::kTimedOut, AttemptStatus::kFailed,
        AttemptStatus::kCancelled, AttemptStatus::kLost}) {
    effects = Effects();
    (void)Submit(Claim());
    const auto sent = TakeSends();
    End(sent[0], status);
    Advance(kDeadline);
    BOOST_TEST(effects.sends.empty());
    BOOST_REQUIRE(!effects.answers.empty());
    BOOST_TEST((effects.answers.back().answer.outcome == Outcome::kUnknown));
  }
}

// A claim is answered from another index version than requested. The answer is
// not used, but the claim ran.
BOOST_AUTO_TEST_CASE(Engine_ClaimAnsweredForAnotherVersion_IsUnknown) {
  AttemptReply reply = Answered(sends[0]);
  reply.version = IndexVersion(9);
  Reply(reply);
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kUnknown));
  BOOST_TEST(effects.sends.empty());
}

// After each status that proves that the claim did not run, it is sent to
// another target.
BOOST_AUTO_TEST_CASE(Engine_ClaimProvedNotRun_IsSentElsewhere) {
  for (const AttemptStatus status :
       {AttemptStatus::kShed, AttemptStatus::kNotSent,
        AttemptStatus::kWrongRange, AttemptStatus::kVersionGone}) {
    (void)Submit(Claim());
    const auto sent = TakeSends();
    End(sent[0], status);
    const auto again = TakeSends();
    BOOST_REQUIRE(again.size() == 1U);
    BOOST_TEST((again[0].target != sent[0].target));
    Reply(Answered(again[0]));
  }
}

// The target of a claim is slow. A hedge could run the claim twice.
BOOST_AUTO_TEST_CASE(Engine_ClaimSlow_IsNotHedged) {
  Advance(kDeadline);
  BOOST_TEST(effects.sends.empty());
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kUnknown));
  BOOST_TEST(OnlyAnswer().attempts == 1U);
}

// All replicas shed a claim. The caller gets kNotRun with a retry_after well
// before its deadline.
BOOST_AUTO_TEST_CASE(Engine_ClaimShedEverywhere_NotRunBeforeTheDeadline) {
  End(sends[0], AttemptStatus::kShed);
  const TimePoint start = clock.Now();
  while (effects.answers.empty() && clock.Now() < start + kDeadline) {
    for (const SendAttempt& send : TakeSends()) {
      End(send, AttemptStatus::kShed);
    }
    Advance(std::chrono::milliseconds(1));
  }
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kNotRun));
  BOOST_TEST((OnlyAnswer().reason == AnswerReason::kOverload));
  BOOST_TEST(OnlyAnswer().retry_after.has_value());
  BOOST_TEST((clock.Now() < start + kDeadline / 2));
}

// One attempt of a search fails on its target and all others are shed. Since
// one attempt may have run, the outcome must not be kNotRun.
BOOST_AUTO_TEST_CASE(Engine_OneAttemptOfManyMayHaveRun_OutcomeIsUnknown) {
  effects = Effects();
  (void)Submit(Search());
  for (int round = 0; round < 100 && effects.answers.empty(); ++round) {
    bool first = round == 0;
    for (const SendAttempt& send : TakeSends()) {
      End(send, first ? AttemptStatus::kFailed : AttemptStatus::kShed);
      first = false;
    }
    Advance(std::chrono::milliseconds(1));
  }
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kUnknown));
  BOOST_TEST(OnlyAnswer().retry_after.has_value());
}

// A non-idempotent request goes to all shards, and the connection to one target
// is lost. The answer is partial, and no attempt is sent again.
BOOST_AUTO_TEST_CASE(Engine_AllShardsClaimLosesOneShard_PartialWithoutRetry) {
  effects = Effects();
  Method method = Search();
  method.repeat = Repeat::kOnce;
  (void)Submit(method);
  const auto parts = TakeSends();
  End(parts[0], AttemptStatus::kLost);
  for (std::size_t i = 1; i < parts.size(); ++i) {
    Reply(Answered(parts[i]));
  }
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kPartial));
  BOOST_TEST((OnlyAnswer().reason == AnswerReason::kTargetFailed));
  BOOST_TEST(!OnlyAnswer().retry_after.has_value());
  BOOST_TEST(effects.sends.empty());
}

// A version is gone on one shard after the other shards of a non-idempotent
// call were answered. A restart would run the call on those shards twice.
BOOST_AUTO_TEST_CASE(Engine_AllShardsClaimVersionGone_NoRestartAfterARun) {
  effects = Effects();
  engine.SetVersions(service, {Map(7), Map(8)});
  Method method = Search();
  method.repeat = Repeat::kOnce;
  (void)Submit(method);
  const auto parts = TakeSends();
  for (std::size_t i = 1; i < parts.size(); ++i) {
    Reply(Answered(parts[i]));
  }
  End(parts[0], AttemptStatus::kVersionGone);
  while (!effects.sends.empty()) {
    for (const SendAttempt& send : TakeSends()) {
      BOOST_TEST((send.version == IndexVersion(8)));
      End(send, AttemptStatus::kVersionGone);
    }
    Advance(std::chrono::milliseconds(10));
  }
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kPartial));
  BOOST_TEST((OnlyAnswer().version == IndexVersion(8)));
}

BOOST_AUTO_TEST_CASE(Engine_DeadlinePassedAtSubmit_NotRunAndNothingSent) {
  effects = Effects();
  Call late = MakeCall(Search());
  late.deadline = clock.Now();
  (void)Submit(std::move(late));
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kNotRun));
  BOOST_TEST((OnlyAnswer().reason == AnswerReason::kDeadline));
  BOOST_TEST(effects.sends.empty());
}

BOOST_AUTO_TEST_CASE(Engine_NoReplicaLive_NotRunAtOnce) {
  effects = Effects();
  router.SetTargets({}, clock.Now());
  (void)Submit(Search());
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kNotRun));
  BOOST_TEST((OnlyAnswer().reason == AnswerReason::kNoReplica));
  BOOST_TEST(OnlyAnswer().retry_after.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
