// Tests of requests that crash the targets that run them, and of their
// quarantine.
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

  //! Submits the crashing request repeatedly, once every 50 ms.
  void SubmitRepeatedly(const Method& method, int times) {
    for (int i = 0; i < times; ++i) {
      (void)SubmitAndFlush(MakeFleetCall(method, crashing));
      RunFor(std::chrono::milliseconds(50));
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(EngineQuarantineTest, QuarantineFixture)

// A keyed request crashes each target that runs it, and its caller sends it
// repeatedly. The first attempt and its one retry crash a target each.
// After that the request is refused as not run.
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

// A request to all shards crashes one target of each at once, before the first
// crash is seen. One more crash, of the target of a single probe, quarantines
// it.
BOOST_AUTO_TEST_CASE(Engine_AllShardsRequestCrashes_OneTargetPerShardPlusOne) {
  SubmitRepeatedly(Search(), 20);
  BOOST_TEST(Crashes() == kShards + 1);
  BOOST_TEST(effects.suspects.size() == 1U);
  BOOST_TEST(effects.quarantined.size() == 1U);
}

// A non-idempotent request crashes its target. Its caller gets kUnknown at
// once. Only a resend by the caller runs the request again, and that crash
// quarantines it.
BOOST_AUTO_TEST_CASE(Engine_NonIdempotentRequestCrashes_OneTargetPerCall) {
  (void)SubmitAndFlush(MakeFleetCall(Claim(), crashing));
  RunFor(std::chrono::milliseconds(2));
  BOOST_TEST((answers.at(CallId(1)).outcome == Outcome::kUnknown));
  BOOST_TEST(!answers.at(CallId(1)).retry_after.has_value());
  BOOST_TEST(Crashes() == 1U);
  SubmitRepeatedly(Claim(), 10);
  BOOST_TEST(Crashes() == 2U);
}

// Harmless requests run on the targets that crash. Each is retried on another
// target, which clears it, and gets a whole answer; none is refused.
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

// Several callers send a harmless request that is a suspect, because a target
// crashed while running it beside another one. The calls wait for the result of
// a single probe and then get whole answers.
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

// Calls wait for the result of a probe when a peer reports that the request is
// quarantined. They are refused at once as not run, before the probe ends.
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

// The probe of a suspect times out, so it may have run. The request is not sent
// again, since each run may crash a target.
BOOST_AUTO_TEST_CASE(Engine_ProbeTimesOut_IsNotSentAgain) {
  engine.AddPeerSuspect(crashing, clock.Now());
  (void)Submit(MakeFleetCall(Lookup(), crashing));
  const auto probe = TakeSends();
  BOOST_REQUIRE(probe.size() == 1U);
  End(probe[0], AttemptStatus::kTimedOut);
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kUnknown));
  BOOST_TEST(effects.sends.empty());
}

// Guards against an error that clears a suspect: the target may have failed
// before it ran the request.
BOOST_AUTO_TEST_CASE(Engine_ProbeReturnsError_StaysSuspect) {
  engine.AddPeerSuspect(crashing, clock.Now());
  (void)Submit(MakeFleetCall(Lookup(), crashing));
  const auto probe = TakeSends();
  BOOST_REQUIRE(probe.size() == 1U);
  End(probe[0], AttemptStatus::kFailed);
  BOOST_TEST((State() == QuarantineState::kSuspect));
  const auto retry = TakeSends();
  BOOST_REQUIRE(retry.size() == 1U);
  End(retry[0], AttemptStatus::kLost);
  BOOST_TEST((State() == QuarantineState::kQuarantined));
}

// A failure domain fails, and with it several attempts of one request. They
// count as one round of crashes: the request is probed on another target and
// not quarantined.
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

// There are two suspects. If both were probed on one target, its crash would
// count against both, so they must be probed on different ones.
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

// A request becomes a suspect while it runs on slow targets. A hedge would run
// it on more targets, which it might crash.
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

// The quarantine of a request that still crashes targets expires. The request
// crashes one more target instead of one per shard, and is refused again.
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

// A caller sends a crashing request to three hosts in turn, which share nothing
// but their reports of suspect and quarantined requests. The first round
// crashes one target per shard, and the probe of each host at most one more,
// however often the caller sends the request.
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
  BOOST_TEST_MESSAGE("targets crashed over " << kHosts
                                             << " hosts: " << crashes);
  BOOST_TEST(crashes <= kShards + kHosts);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
