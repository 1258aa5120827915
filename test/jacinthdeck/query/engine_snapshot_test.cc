// Tests that each answer comes from a single index version.
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "engine_fixture.h"

namespace jacinthdeck {

struct SnapshotFixture : EngineFixture {
  //! Ends all attempts on a version with kVersionGone and answers the others.
  void AnswerAllBut(IndexVersion gone) {
    while (!effects.sends.empty()) {
      for (const SendAttempt& send : TakeSends()) {
        if (send.version == gone) {
          End(send, AttemptStatus::kVersionGone);
        } else {
          Reply(Answered(send));
        }
      }
    }
  }

  //! Returns a map with other shard boundaries than Map().
  [[nodiscard]] static PartitionMap Repartitioned(std::uint64_t version) {
    PartitionMap map = Map(version);
    map.shards[0].range.end += 1000;
    map.shards[1].range.begin += 1000;
    return map;
  }
};

BOOST_FIXTURE_TEST_SUITE(EngineSnapshotTest, SnapshotFixture)

BOOST_AUTO_TEST_CASE(Engine_TwoVersionsServed_NewestIsPinned) {
  engine.SetVersions(service, {Map(7), Map(8)});
  (void)Submit(Search());
  AnswerAll();
  BOOST_TEST((OnlyAnswer().version == IndexVersion(8)));
}

// One shard of the newest version has no live replica. An answer from it could
// not be whole, while the previous version can give a whole answer.
BOOST_AUTO_TEST_CASE(Engine_NewestVersionLacksAShard_OlderOneIsPinned) {
  PartitionMap newest = Map(8);
  newest.shards[3].replicas = {TargetId("not-there-yet")};
  engine.SetVersions(service, {Map(7), newest});
  (void)Submit(Search());
  AnswerAll();
  BOOST_TEST((OnlyAnswer().version == IndexVersion(7)));
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kWhole));
}

// Three shards have answered from version 8 when all replicas of the fourth
// report that they do not serve it. The caller gets a whole answer from version
// 7 alone, and the replies from version 8 are dropped.
BOOST_AUTO_TEST_CASE(Engine_VersionGoneMidCall_WholeCallRestartsOnAnother) {
  engine.SetVersions(service, {Map(7), Map(8)});
  (void)Submit(Search());
  for (const SendAttempt& send : TakeSends()) {
    if (send.range == Range(3)) {
      End(send, AttemptStatus::kVersionGone);
    } else {
      AttemptReply reply = Answered(send);
      reply.hits[0].id = "from-8";
      Reply(reply);
    }
  }
  AnswerAllBut(IndexVersion(8));
  const Answer& answer = OnlyAnswer();
  BOOST_TEST((answer.version == IndexVersion(7)));
  BOOST_TEST((answer.outcome == Outcome::kWhole));
  BOOST_TEST(answer.hits.size() == kShards);
  BOOST_TEST(std::ranges::none_of(
      answer.hits, [](const Hit& hit) { return hit.id == "from-8"; }));
  BOOST_TEST(engine.counters().restarts == 1U);
}

// A reply from the abandoned version arrives after the restart. Merging it
// would mix two index versions, so it is dropped.
BOOST_AUTO_TEST_CASE(Engine_LateReplyOfAbandonedVersion_IsNotMerged) {
  engine.SetVersions(service, {Map(7), Map(8)});
  (void)Submit(Search());
  const auto first = TakeSends();
  SendAttempt asked = first[3];
  while (asked.version == IndexVersion(8)) {
    End(asked, AttemptStatus::kVersionGone);
    asked = effects.sends.front();
    effects.sends.resize(asked.version == IndexVersion(8) ? 0 : kShards);
  }
  AttemptReply late = Answered(first[0]);
  late.hits[0].id = "from-8";
  Reply(late);
  AnswerAll();
  BOOST_TEST((OnlyAnswer().version == IndexVersion(7)));
  BOOST_TEST(std::ranges::none_of(
      OnlyAnswer().hits, [](const Hit& hit) { return hit.id == "from-8"; }));
  BOOST_TEST(engine.counters().late_replies == 1U);
}

// Version 7 is retired while a call on it runs. Replicas that still serve it
// answer, and the call completes with version 7 and its map.
BOOST_AUTO_TEST_CASE(Engine_VersionsReplacedDuringCall_PinnedMapIsKept) {
  (void)Submit(Search());
  engine.SetVersions(service, {Repartitioned(8)});
  AnswerAll();
  BOOST_TEST((OnlyAnswer().version == IndexVersion(7)));
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kWhole));
}

// Version 7 is retired, and one replica reports that it no longer serves it.
// The call restarts at once, since trying the shard's other replicas would only
// cost time.
BOOST_AUTO_TEST_CASE(Engine_RetiredVersionGoneOnce_RestartsAtOnce) {
  (void)Submit(Search());
  engine.SetVersions(service, {Repartitioned(8)});
  const auto first = TakeSends();
  End(first[0], AttemptStatus::kVersionGone);
  const auto second = TakeSends();
  BOOST_REQUIRE(second.size() == kShards);
  BOOST_TEST((second[0].version == IndexVersion(8)));
  BOOST_TEST((second[0].range.end == Range(0).end + 1000));
  BOOST_TEST(effects.cancels.size() == kShards - 1);
}

// All replicas of one shard no longer serve the only version. The caller gets a
// partial answer with the reason at once.
BOOST_AUTO_TEST_CASE(Engine_OnlyVersionGoneFromAShard_PartialAtOnce) {
  (void)Submit(Search());
  const TimePoint start = clock.Now();
  while (!effects.sends.empty()) {
    for (const SendAttempt& send : TakeSends()) {
      if (send.range == Range(1)) {
        End(send, AttemptStatus::kVersionGone);
      } else {
        Reply(Answered(send));
      }
    }
    Advance(std::chrono::milliseconds(10));
  }
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kPartial));
  BOOST_TEST((OnlyAnswer().reason == AnswerReason::kVersionGone));
  BOOST_TEST((OnlyAnswer().missing == std::vector{Range(1)}));
  BOOST_TEST((clock.Now() < start + kDeadline / 2));
}

// No replica serves the only version, so nothing ran and the outcome is
// kNotRun.
BOOST_AUTO_TEST_CASE(Engine_OnlyVersionGoneEverywhere_NotRun) {
  (void)Submit(Search());
  for (int round = 0; round < 20 && effects.answers.empty(); ++round) {
    AnswerAllBut(IndexVersion(7));
    Advance(std::chrono::milliseconds(5));
  }
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kNotRun));
  BOOST_TEST((OnlyAnswer().reason == AnswerReason::kVersionGone));
  BOOST_TEST(OnlyAnswer().retry_after.has_value());
}

// New calls start on the older version while the reports that the newer one is
// not served are fresh, and try the newer one again later.
BOOST_AUTO_TEST_CASE(Engine_VersionNotServedYet_IsSkippedUntilReportExpires) {
  engine.SetVersions(service, {Map(7), Map(8)});
  for (int i = 0; i < 2; ++i) {
    (void)Submit(Search());
    AnswerAllBut(IndexVersion(8));
  }
  BOOST_TEST(engine.counters().restarts == 1U);
  Advance(VersionCatalog::kVersionGoneTtl);
  (void)Submit(Search());
  BOOST_TEST((effects.sends[0].version == IndexVersion(8)));
}

// A target answers from another version or for another range than requested.
// Merging the reply would mix index versions or cover keys that were not read.
BOOST_AUTO_TEST_CASE(Engine_ReplyForAnotherVersionOrRange_IsNeverMerged) {
  (void)Submit(Search());
  const auto sends = TakeSends();
  AttemptReply version = Answered(sends[0]);
  version.version = IndexVersion(8);
  version.hits[0].id = "wrong";
  Reply(version);
  AttemptReply range = Answered(sends[1]);
  range.range.end -= 1;
  range.hits[0].id = "wrong";
  Reply(range);
  Reply(Answered(sends[2]));
  Reply(Answered(sends[3]));
  AnswerAll();
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kWhole));
  BOOST_TEST(OnlyAnswer().retries == 2U);
  BOOST_TEST(std::ranges::none_of(
      OnlyAnswer().hits, [](const Hit& hit) { return hit.id == "wrong"; }));
  BOOST_TEST(engine.counters().mismatched_replies == 2U);
}

// With a map that leaves a gap in the key space, an answer that lacks the keys
// of the gap would be reported as whole.
BOOST_AUTO_TEST_CASE(Engine_MapWithAGap_IsNotUsed) {
  PartitionMap gap = Map(8);
  gap.shards[1].range.begin += 1;
  engine.SetVersions(service, {Map(7), gap});
  BOOST_TEST(engine.counters().rejected_maps == 1U);
  (void)Submit(Search());
  BOOST_TEST((effects.sends[0].version == IndexVersion(7)));
}

// A range that is being moved is held by two targets, and both return the same
// item. It appears once in the answer.
BOOST_AUTO_TEST_CASE(Engine_ItemOnTwoTargets_AppearsOnceInTheAnswer) {
  (void)Submit(Search());
  for (const SendAttempt& send : TakeSends()) {
    AttemptReply reply = Answered(send);
    reply.hits.push_back(Hit{"moved", 0.5, "{}"});
    Reply(reply);
  }
  BOOST_TEST(OnlyAnswer().hits.size() == kShards + 1);
}

BOOST_AUTO_TEST_CASE(Engine_NoVersionKnown_IsNotReady) {
  Method method = Search();
  method.service = ServiceId("Unknown");
  (void)Submit(method);
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kNotRun));
  BOOST_TEST((OnlyAnswer().reason == AnswerReason::kNotReady));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
