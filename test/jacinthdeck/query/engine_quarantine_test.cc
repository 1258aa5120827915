// Tests of requests that crash the targets that run them.
#include <boost/test/unit_test.hpp>

#include "fleet_fixture.h"

namespace jacinthdeck {

struct QuarantineFixture : FleetFixture {
  const Fingerprint crashing{666};

  QuarantineFixture() { fleet.crashing.insert(crashing); }

  [[nodiscard]] std::size_t Crashes() { return fleet.crashes[crashing]; }

  [[nodiscard]] QuarantineState State() const {
    return engine.quarantine().StateOf(crashing, clock.Now());
  }

  [[nodiscard]] Method Lookup() const {
    Method method = Claim();
    method.repeat = Repeat::kIdempotent;
    return method;
  }

  //! A caller that sends the request again as soon as it has an answer.
  void SubmitRepeatedly(const Method& method, int times) {
    for (int i = 0; i < times; ++i) {
      (void)SubmitAndFlush(MakeFleetCall(method, crashing));
      RunFor(std::chrono::milliseconds(50));
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(EngineQuarantineTest, QuarantineFixture)

// A keyed request crashes each target that runs it, and its caller sends it
// again at once. Two targets die: the first run and the one retry. From then on
// it is refused as not run.
BOOST_AUTO_TEST_CASE(Engine_KeyedRequestCrashesTargets_RefusedAfterTwoCrashes) {
  SubmitRepeatedly(Lookup(), 20);
  BOOST_TEST(Crashes() == 2U);
  BOOST_TEST((State() == QuarantineState::kQuarantined));
  BOOST_TEST((answers.at(CallId(1)).outcome == Outcome::kUnknown));
  const Answer& refused = answers.at(CallId(20));
  BOOST_TEST((refused.outcome == Outcome::kNotRun));
  BOOST_TEST((refused.reason == AnswerReason::kQuarantined));
  BOOST_TEST((refused.retry_after > std::chrono::minutes(9)));
  BOOST_TEST(refused.attempts == 0U);
}

// A request to every shard crashes them all at once, before anything is known
// of it. After that round one probe, on one target, decides.
BOOST_AUTO_TEST_CASE(Engine_AllShardsRequestCrashes_OneTargetPerShardPlusOne) {
  SubmitRepeatedly(Search(), 20);
  BOOST_TEST(Crashes() == kShards + 1);
  BOOST_TEST(effects.suspects.size() == 1U);
  BOOST_TEST(effects.quarantined.size() == 1U);
}

// The same request may not be repeated. The first loss is answered as unknown
// at once; only the caller's own resend runs it again, and that convicts it.
BOOST_AUTO_TEST_CASE(Engine_NonIdempotentRequestCrashes_OneTargetPerCall) {
  (void)SubmitAndFlush(MakeFleetCall(Claim(), crashing));
  RunFor(std::chrono::milliseconds(2));
  BOOST_TEST((answers.at(CallId(1)).outcome == Outcome::kUnknown));
  BOOST_TEST(!answers.at(CallId(1)).retry_after.has_value());
  BOOST_TEST(Crashes() == 1U);
  SubmitRepeatedly(Claim(), 10);
  BOOST_TEST(Crashes() == 2U);
}

// Innocent requests run on the targets that die. The callers see nothing of it:
// each is retried elsewhere, which clears it, and none is refused.
BOOST_AUTO_TEST_CASE(Engine_HarmlessRequestsOnCrashedTargets_AreCleared) {
  for (int i = 0; i < 8; ++i) {
    (void)SubmitAndFlush(
        MakeFleetCall(Search(), Fingerprint(1000 + next_call)));
  }
  (void)SubmitAndFlush(MakeFleetCall(Search(), crashing));
  RunFor(kDeadline);
  SubmitRepeatedly(Search(), 5);
  BOOST_TEST((State() == QuarantineState::kQuarantined));
  BOOST_TEST(effects.suspects.size() > 1U);
  BOOST_TEST(effects.quarantined.size() == 1U);
  BOOST_TEST(engine.quarantine().Entries(clock.Now()).size() == 1U);
  BOOST_TEST(CountOf(Outcome::kWhole) == 8U);
}

// Many callers send one popular request when a target dies under another one.
// They wait for the verdict of one probe and then get whole answers.
BOOST_AUTO_TEST_CASE(Engine_HarmlessSuspectCleared_HeldCallsResume) {
  const Fingerprint harmless(5);
  engine.AddPeerSuspect(harmless, clock.Now());
  for (int i = 0; i < 5; ++i) {
    (void)SubmitAndFlush(MakeFleetCall(Search(), harmless));
  }
  BOOST_TEST(engine.counters().attempts == 1U);
  RunFor(kDeadline);
  BOOST_TEST(CountOf(Outcome::kWhole) == 5U);
  BOOST_TEST((engine.quarantine().StateOf(harmless, clock.Now()) ==
              QuarantineState::kNone));
}

// Calls wait for the verdict of a probe when a peer says that the request is
// convicted. They are refused at that moment, as not run, and not when the
// probe ends.
BOOST_AUTO_TEST_CASE(Engine_PeerQuarantinesWhileCallsAreHeld_RefusedAtOnce) {
  engine.AddPeerSuspect(crashing, clock.Now());
  for (int i = 0; i < 3; ++i) {
    (void)Submit(MakeFleetCall(Lookup(), crashing));
  }
  BOOST_REQUIRE(effects.sends.size() == 1U);
  engine.AddPeerQuarantine(crashing, clock.Now(), effects);
  BOOST_REQUIRE(effects.answers.size() == 2U);
  for (const DeliverAnswer& refused : effects.answers) {
    BOOST_TEST((refused.answer.outcome == Outcome::kNotRun));
    BOOST_TEST((refused.answer.reason == AnswerReason::kQuarantined));
  }
}

// The probe of a suspect ends without a verdict, but may have run. The request
// is not sent once more: each run may cost a target.
BOOST_AUTO_TEST_CASE(Engine_ProbeTimesOut_IsNotSentAgain) {
  engine.AddPeerSuspect(crashing, clock.Now());
  (void)Submit(MakeFleetCall(Lookup(), crashing));
  const auto probe = TakeSends();
  BOOST_REQUIRE(probe.size() == 1U);
  End(probe[0], AttemptStatus::kTimedOut);
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kUnknown));
  BOOST_TEST(effects.sends.empty());
}

// A failure domain goes down and takes several attempts of one request with
// it. That is one round of deaths: the request is probed elsewhere and not
// convicted.
BOOST_AUTO_TEST_CASE(Engine_FailureDomainLost_RequestIsNotQuarantined) {
  (void)Submit(Search());
  for (const SendAttempt& send : TakeSends()) {
    End(send, AttemptStatus::kLost);
  }
  AnswerAll();
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kWhole));
  BOOST_TEST(effects.quarantined.empty());
  BOOST_TEST(engine.quarantine().Entries(clock.Now()).empty());
}

// Two suspects, one of them deadly. On one target both would be blamed for its
// death; they are probed on different ones.
BOOST_AUTO_TEST_CASE(Engine_TwoSuspects_AreNeverProbedOnOneTarget) {
  engine.AddPeerSuspect(Fingerprint(1), clock.Now());
  engine.AddPeerSuspect(Fingerprint(2), clock.Now());
  for (int round = 0; round < 50; ++round) {
    for (const std::uint64_t raw : {1U, 2U}) {
      Call call = MakeCall(Lookup());
      call.fingerprint = Fingerprint(raw);
      (void)Submit(std::move(call));
    }
    const auto sends = TakeSends();
    BOOST_REQUIRE(sends.size() == 2U);
    BOOST_TEST((sends[0].target != sends[1].target));
    for (const SendAttempt& send : sends) {
      End(send, AttemptStatus::kShed);
    }
    Advance(kDeadline);
    for (const SendAttempt& send : TakeSends()) {
      End(send, AttemptStatus::kShed);
    }
    Advance(kDeadline);
  }
}

// A request becomes a suspect while it runs on slow targets. A hedge would put
// it on more of them.
BOOST_AUTO_TEST_CASE(Engine_SuspectWhileRunning_IsNotHedged) {
  const Call call = MakeCall(Search());
  (void)Submit(call);
  effects = Effects();
  engine.AddPeerSuspect(call.fingerprint, clock.Now());
  Advance(kDeadline / 2);
  BOOST_TEST(effects.sends.empty());
}

BOOST_AUTO_TEST_CASE(Engine_Suspect_IsNotHedged) {
  engine.AddPeerSuspect(crashing, clock.Now());
  Call call = MakeCall(Lookup());
  call.fingerprint = crashing;
  (void)Submit(std::move(call));
  Advance(kDeadline);
  BOOST_TEST(OnlyAnswer().hedges == 0U);
  BOOST_TEST(OnlyAnswer().attempts == 1U);
}

// The conviction ends by itself. The request is still deadly: it costs one more
// target, not a whole round, and is refused again.
BOOST_AUTO_TEST_CASE(Engine_QuarantineExpires_OneMoreCrashRenewsIt) {
  SubmitRepeatedly(Search(), 3);
  const std::size_t before = Crashes();
  RunFor(QuarantineOptions().quarantine_ttl);
  BOOST_TEST((State() == QuarantineState::kSuspect));
  SubmitRepeatedly(Search(), 10);
  BOOST_TEST(Crashes() == before + 1);
  BOOST_TEST((State() == QuarantineState::kQuarantined));
}

BOOST_AUTO_TEST_CASE(Engine_OperatorReleases_RequestRunsAgain) {
  SubmitRepeatedly(Lookup(), 3);
  fleet.crashing.clear();
  BOOST_TEST(engine.ReleaseQuarantine(crashing, clock.Now(), effects));
  BOOST_TEST(!engine.ReleaseQuarantine(crashing, clock.Now(), effects));
  const CallId id = SubmitAndFlush(MakeFleetCall(Lookup(), crashing));
  RunFor(kDeadline);
  BOOST_TEST((answers.at(id).outcome == Outcome::kWhole));
}

// The caller goes round three entries that share nothing but what they tell
// each other. The first round kills one target a shard, then each entry's one
// probe at most one more, however often the caller comes back.
BOOST_AUTO_TEST_CASE(Engines_CallerResendsToEachHost_CrashesStayBounded) {
  constexpr std::size_t kHosts = 3;
  std::vector<std::unique_ptr<QuarantineFixture>> hosts;
  for (std::size_t i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<QuarantineFixture>());
  }
  for (int round = 0; round < 10; ++round) {
    for (const auto& host : hosts) {
      (void)host->SubmitAndFlush(host->MakeFleetCall(Search(), crashing));
      host->RunFor(std::chrono::milliseconds(5));
      for (const auto& peer : hosts) {
        for (const Fingerprint suspect : host->effects.suspects) {
          peer->engine.AddPeerSuspect(suspect, peer->clock.Now());
        }
        for (const Fingerprint quarantined : host->effects.quarantined) {
          peer->engine.AddPeerQuarantine(quarantined, peer->clock.Now(),
                                         peer->effects);
        }
      }
    }
  }
  std::size_t crashes = 0;
  for (const auto& host : hosts) {
    crashes += host->Crashes();
  }
  BOOST_TEST_MESSAGE("targets killed over " << kHosts
                                            << " entries: " << crashes);
  BOOST_TEST(crashes <= kShards + kHosts);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
