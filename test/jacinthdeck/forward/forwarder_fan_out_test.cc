// Tests of fan-out calls: coverage, timing and configuration versions.
#include "jacinthdeck/forward/forwarder.h"

#include "jacinthdeck/forward/forwarder_fixture.h"

namespace jacinthdeck {

namespace {

[[nodiscard]] std::string Record(char fill) {
  return std::string(16, fill);
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ForwarderFanOutTest, ForwarderFixture)

BOOST_AUTO_TEST_CASE(FanOut_AllShardsAnswer_MergesGreatestRecords) {
  (void)Submit("/fan/1");
  BOOST_REQUIRE_EQUAL(port.sent.size(), kShards);
  Answer(port.sent[0], Record('a') + Record('d'));
  Answer(port.sent[1], Record('c'));
  Answer(port.sent[2], Record('b'));
  Answer(port.sent[3], "");
  BOOST_TEST(OnlyAnswer().answer.records == Record('d') + Record('c'));
  BOOST_TEST(OnlyAnswer().answer.part_stamps.size() == kShards);
  BOOST_TEST(OnlyAnswer().answer.missing_parts == 0U);
}

// Guards against an answer after the objective. The target of one shard hangs,
// and its hedge too. The other shards are enough, so the answer is delivered
// before the objective passes and counts one shard as missing.
BOOST_AUTO_TEST_CASE(FanOut_OneShardHangs_PartialAnswerWithinObjective) {
  const TimePoint start = clock.Now();
  (void)Submit("/fan/1");
  Answer(port.sent[0]);
  Answer(port.sent[1]);
  Answer(port.sent[2]);
  Advance(kObjective);
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kMerged));
  BOOST_TEST(OnlyAnswer().answer.missing_parts == 1U);
  BOOST_TEST(OnlyAnswer().answer.part_stamps.size() == kShards - 1);
  BOOST_TEST((clock.Now() - start <= kObjective));
}

// Guards against a call that fails although its answer is only late. Two of
// four shards are silent, and half of the shards is too little for an answer,
// so it is delivered as soon as one more shard answers, even after the
// objective.
BOOST_AUTO_TEST_CASE(FanOut_TooFewShardsByObjective_AnswersWithNextShard) {
  (void)Submit("/fan/1");
  Answer(port.sent[0]);
  Answer(port.sent[1]);
  Advance(kObjective + milliseconds(50));
  BOOST_TEST(port.delivered.empty());
  Answer(port.sent[2]);
  BOOST_TEST(OnlyAnswer().answer.missing_parts == 1U);
}

// Guards against work on a call that cannot be answered. All targets of two
// shards are gone and the others are too few for an answer, so the call is
// refused before any target works on it.
BOOST_AUTO_TEST_CASE(FanOut_TooManyShardsWithoutTargets_RefusedBeforeSending) {
  std::erase_if(targets, [](const TargetEntry& target) {
    return target.service == ServiceId("shard-0") ||
           target.service == ServiceId("shard-1");
  });
  forwarder.SetTargets(targets, clock.Now());
  (void)Submit("/fan/1");
  BOOST_TEST(port.sent.empty());
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kNotRun));
  BOOST_TEST((OnlyAnswer().answer.reason == ForwardReason::kNoTarget));
}

BOOST_AUTO_TEST_CASE(FanOut_OneShardWithoutTargets_CountsAsMissing) {
  std::erase_if(targets, [](const TargetEntry& target) {
    return target.service == ServiceId("shard-0");
  });
  forwarder.SetTargets(targets, clock.Now());
  (void)Submit("/fan/1");
  for (const OutgoingAttempt& attempt :
       std::vector<OutgoingAttempt>(port.sent)) {
    Answer(attempt);
  }
  BOOST_TEST(OnlyAnswer().answer.missing_parts == 1U);
}

// Guards against an answer that mixes configuration versions. The shards change
// during a call: all its parts come from the version with which it started, and
// the next call uses the new one.
BOOST_AUTO_TEST_CASE(FanOut_ConfigChangesDuringCall_PartsUseOneVersion) {
  (void)Submit("/fan/1");
  std::vector<Route> routes = Routes();
  routes[0].shards = {ServiceId("plain")};
  BOOST_REQUIRE(forwarder.SetConfig(std::make_shared<const RoutingConfig>(
      2, routes, std::vector<ServiceConfig>{}, CallerLimits{})));
  Fail(port.sent[0], 500);
  BOOST_REQUIRE_EQUAL(port.sent.size(), kShards + 1);
  BOOST_TEST(port.sent.back().target.service == ServiceId("shard-0"));
  (void)Submit("/fan/2");
  BOOST_TEST(port.sent.size() == kShards + 2);
  BOOST_TEST(port.sent.back().target.service == ServiceId("plain"));
}

// Guards against a merged answer with a failed response in it, although the
// response has the stamp of the target.
BOOST_AUTO_TEST_CASE(FanOut_ShardFailsTwice_IsNotMerged) {
  (void)Submit("/fan/1");
  Fail(port.sent[0], 500);
  Fail(port.sent[4], 500);
  Answer(port.sent[1]);
  Answer(port.sent[2]);
  Answer(port.sent[3]);
  BOOST_TEST(OnlyAnswer().answer.missing_parts == 1U);
  BOOST_TEST(OnlyAnswer().answer.part_stamps.size() == kShards - 1);
}

// Guards against quarantining a request for connections that are lost for other
// reasons. Many targets lose their connections at the same time, before the
// first answer; the call must continue, since other targets of the shards
// answer: one retry first, and the others once it is answered.
BOOST_AUTO_TEST_CASE(FanOut_ConnectionsLostBeforeAnswers_OtherTargetsAreTried) {
  (void)Submit("/fan/1");
  const std::vector<OutgoingAttempt> first(port.sent);
  End(first[0], AttemptOutcome::kBroken, true);
  End(first[1], AttemptOutcome::kBroken, true);
  End(first[2], AttemptOutcome::kBroken, true);
  BOOST_TEST(port.delivered.empty());
  BOOST_REQUIRE_EQUAL(port.sent.size(), kShards + 1);
  Answer(OutgoingAttempt(port.sent.back()));
  Advance(Duration(1));
  BOOST_REQUIRE_EQUAL(port.sent.size(), kShards + 3);
  for (std::size_t at = 3; at < port.sent.size(); ++at) {
    Answer(port.sent[at]);
  }
  BOOST_TEST(OnlyAnswer().answer.missing_parts == 0U);
  BOOST_TEST(port.quarantines.empty());
}

// Guards against lost connections that leave no trace. The call fails because
// two shards fail, and the targets of the others lose their connections after.
BOOST_AUTO_TEST_CASE(Attempt_ConnectionLostAfterCallEnded_IsReported) {
  (void)Submit("/fan/1");
  const std::vector<OutgoingAttempt> first(port.sent);
  End(first[0], AttemptOutcome::kBroken, true);
  Fail(first[1], 500);
  Fail(port.sent[4], 500);
  Fail(port.sent[5], 500);
  BOOST_REQUIRE_EQUAL(port.delivered.size(), 1U);
  End(first[2], AttemptOutcome::kBroken, true);
  BOOST_REQUIRE_EQUAL(port.lost.size(), 1U);
  BOOST_TEST(port.lost[0].target == first[2].target.id);
  BOOST_TEST(forwarder.counters().lost_during_call == 1U);
  BOOST_TEST(forwarder.counters().lost_after_call == 1U);
}

// Guards against a caller that waits until its deadline although two shards
// have failed finally and no answer is possible.
BOOST_AUTO_TEST_CASE(FanOut_TooManyShardsFailed_FailsImmediately) {
  (void)Submit("/fan/1");
  const std::vector<OutgoingAttempt> first(port.sent);
  Fail(first[0], 500);
  Fail(first[1], 500);
  Fail(port.sent[4], 500);
  Fail(port.sent[5], 500);
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kFailed));
}

// Guards against a late hedge for the last shard. Nine of ten shards answer
// after the usual time, and the target of the last one hangs. Its hedge would
// be due after 40 ms of the 100 ms of the caller; it is sent as soon as its
// shard is the last one.
BOOST_AUTO_TEST_CASE(FanOut_LastShardOfTen_IsHedgedImmediately) {
  constexpr std::size_t kWideShards = 10;
  Route wide = MakeRoute("wide", RepeatRule::kIdempotent);
  wide.top_records = 2;
  wide.min_share = 0.75;
  std::vector<ServiceConfig> services;
  targets.clear();
  for (std::size_t shard = 0; shard < kWideShards; ++shard) {
    const std::string name = "wide-" + std::to_string(shard);
    wide.shards.emplace_back(name);
    services.push_back({ServiceId(name), 30});
    AddTargets(name);
  }
  forwarder.SetTargets(targets, clock.Now());
  BOOST_REQUIRE(forwarder.SetConfig(std::make_shared<const RoutingConfig>(
      100, std::vector<Route>{wide}, services, CallerLimits{})));
  WarmUp("/wide/1", milliseconds(20), 50);
  WarmUp("/wide/1", milliseconds(60), 14);
  (void)Submit("/wide/2");
  BOOST_REQUIRE_EQUAL(port.sent.size(), kWideShards);
  Advance(milliseconds(30));
  for (std::size_t shard = 1; shard < kWideShards; ++shard) {
    BOOST_TEST(port.sent.size() == kWideShards);
    Answer(port.sent[shard]);
  }
  Advance(milliseconds(7));
  BOOST_REQUIRE_EQUAL(port.sent.size(), kWideShards + 1);
  BOOST_TEST(port.sent.back().target.service == port.sent[0].target.service);
  BOOST_TEST(port.sent.back().target.id != port.sent[0].target.id);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
