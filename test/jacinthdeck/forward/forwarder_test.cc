// Tests of calls for one service: what is repeated, and what callers are told.
#include "jacinthdeck/forward/forwarder.h"

#include "jacinthdeck/forward/forwarder_fixture.h"

namespace jacinthdeck {

BOOST_FIXTURE_TEST_SUITE(ForwarderTest, ForwarderFixture)

BOOST_AUTO_TEST_CASE(Forwarder_WithoutConfig_RefusesWithRetryAfter) {
  Forwarder fresh(options, port, 1, clock.Now());
  ForwardCall call;
  call.id = CallId(1);
  call.request = std::make_shared<OpaqueRequest>();
  fresh.Submit(call, clock.Now());
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kNotRun));
  BOOST_TEST(OnlyAnswer().answer.retry_after.has_value());
}

BOOST_AUTO_TEST_CASE(Forwarder_NoRouteMatches_AnswersNoRoute) {
  (void)Submit("/elsewhere/1");
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kNoRoute));
  BOOST_TEST(port.sent.empty());
}

BOOST_AUTO_TEST_CASE(Forwarder_TargetAnswers_ResponseIsDelivered) {
  (void)Submit("/read/1");
  BOOST_REQUIRE_EQUAL(port.sent.size(), 1U);
  Answer(port.sent[0], "body");
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kResponse));
  BOOST_TEST(OnlyAnswer().answer.response.body == "body");
}

// The caller sees one answer. The first target fails with an error of its own
// after it ran the request, which may run again, so another target gets it.
BOOST_AUTO_TEST_CASE(Forwarder_IdempotentRequestFails_RetriedAtAnotherTarget) {
  (void)Submit("/read/1");
  Fail(port.sent[0], 500);
  BOOST_REQUIRE_EQUAL(port.sent.size(), 2U);
  BOOST_TEST(port.sent[0].target.id != port.sent[1].target.id);
  Answer(port.sent[1], "body");
  BOOST_TEST(OnlyAnswer().answer.response.status == 200);
}

// The caller claims a ticket, and the connection to the target ends before its
// response. The claim may have run; sent again it could run twice, and a
// refusal that says "not run" would make the caller send it again.
BOOST_AUTO_TEST_CASE(Forwarder_AtMostOnceConnectionLost_FailsWithoutRetry) {
  (void)Submit("/claim/1");
  End(port.sent[0], AttemptOutcome::kBroken, true);
  BOOST_TEST(port.sent.size() == 1U);
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kFailed));
}

// A target that is full refuses a claim and says that it did not run it, so the
// claim is safe to send elsewhere.
BOOST_AUTO_TEST_CASE(Forwarder_AtMostOnceIsShed_RetriedAtAnotherTarget) {
  (void)Submit("/claim/1");
  End(port.sent[0], AttemptOutcome::kNotExecuted);
  BOOST_REQUIRE_EQUAL(port.sent.size(), 2U);
  Answer(port.sent[1]);
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kResponse));
}

// Every target refuses without running the claim: then "not run" is true, and
// the caller is told when to come back instead of waiting for its deadline.
BOOST_AUTO_TEST_CASE(Forwarder_AllTargetsShed_NotRunImmediately) {
  const TimePoint start = clock.Now();
  (void)Submit("/claim/1");
  for (std::size_t at = 0; at < port.sent.size(); ++at) {
    End(port.sent[at], AttemptOutcome::kNotExecuted);
  }
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kNotRun));
  BOOST_TEST(OnlyAnswer().answer.retry_after.has_value());
  BOOST_TEST((clock.Now() == start));
}

// All targets of a service were killed and refuse connections. A call that asks
// them again within the same millisecond uses up its attempts on closed ports;
// it looks for another target instead, and finds the one that has just started.
BOOST_AUTO_TEST_CASE(Forwarder_TargetsRefuseConnections_WaitsForNewTarget) {
  (void)Submit("/read/1");
  for (std::size_t at = 0; at < port.sent.size(); ++at) {
    End(port.sent[at], AttemptOutcome::kNotSent);
  }
  BOOST_REQUIRE_EQUAL(port.sent.size(), kReplicas);
  TargetEntry fresh = targets.back();
  fresh.id = TargetId("plain/new");
  targets.push_back(fresh);
  forwarder.SetTargets(targets, clock.Now());
  Advance(milliseconds(10));
  BOOST_REQUIRE_EQUAL(port.sent.size(), kReplicas + 1);
  BOOST_TEST(port.sent.back().target.id == fresh.id);
  Answer(port.sent.back());
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kResponse));
}

// As above, but nothing comes back: the caller is told so long before its
// deadline, truthfully, and the closed ports were asked once each.
BOOST_AUTO_TEST_CASE(
    Forwarder_TargetsKeepRefusingConnections_NotRunWithinThirdOfObjective) {
  (void)Submit("/read/1");
  for (std::size_t at = 0; at < port.sent.size(); ++at) {
    End(port.sent[at], AttemptOutcome::kNotSent);
  }
  Advance(kObjective / 3);
  BOOST_TEST(port.sent.size() == kReplicas);
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kNotRun));
  BOOST_TEST((OnlyAnswer().answer.reason == ForwardReason::kTargetsFailed));
  BOOST_TEST(OnlyAnswer().answer.retry_after.has_value());
}

// The address of a target belongs to another service by now. The new owner
// refuses by the expected id; the target is not asked again, and another
// target serves the claim.
BOOST_AUTO_TEST_CASE(Forwarder_AddressReused_TargetIsExcluded) {
  (void)Submit("/claim/1");
  const TargetId gone = port.sent[0].target.id;
  End(port.sent[0], AttemptOutcome::kWrongTarget);
  BOOST_REQUIRE_EQUAL(port.sent.size(), 2U);
  for (int i = 0; i < 20; ++i) {
    (void)Submit("/claim/" + std::to_string(i));
    BOOST_TEST(port.sent.back().target.id != gone);
    Answer(port.sent.back());
  }
}

BOOST_AUTO_TEST_CASE(Forwarder_NoAnswerUntilTimeout_TimesOutOnce) {
  (void)Submit("/claim/1", seconds(5));
  Advance(kTimeout);
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kTimedOut));
  Answer(port.sent[0]);
  BOOST_TEST(port.delivered.size() == 1U);
}

// A caller closes its connection while its request is under way: whatever its
// targets still do is wasted, so every attempt is cancelled at once.
BOOST_AUTO_TEST_CASE(Forwarder_CallerDisconnects_AttemptsAreCancelled) {
  const CallId call = Submit("/fan/1");
  forwarder.Abandon(call, clock.Now());
  BOOST_TEST(port.cancelled.size() == kShards);
  BOOST_TEST(port.delivered.empty());
  BOOST_TEST(forwarder.open_calls() == 0U);
}

// The first target is in a pause. After the usual latency the request goes to a
// second one, whose answer is delivered; a third run would exceed what the
// route allows.
BOOST_AUTO_TEST_CASE(Forwarder_TargetPauses_HedgeAnswers) {
  WarmUp("/read/1", milliseconds(10));
  (void)Submit("/read/2");
  Advance(milliseconds(60));
  BOOST_REQUIRE_EQUAL(port.sent.size(), 2U);
  Answer(port.sent[1], "hedge");
  BOOST_TEST(OnlyAnswer().answer.response.body == "hedge");
}

BOOST_AUTO_TEST_CASE(Forwarder_AtMostOnceIsSlow_NoHedgeIsSent) {
  WarmUp("/claim/1", milliseconds(10));
  (void)Submit("/claim/2");
  Advance(milliseconds(500));
  BOOST_TEST(port.sent.size() == 1U);
}

// A response without the target's proof is none of its own: the caller must not
// get it as a success.
BOOST_AUTO_TEST_CASE(Forwarder_SuccessWithoutStamp_Fails) {
  (void)Submit("/claim/1");
  AttemptEnd end;
  end.id = port.sent[0].id;
  end.outcome = AttemptOutcome::kResponse;
  end.response.status = 200;
  forwarder.OnAttemptEnd(end, clock.Now());
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kFailed));
}

// Targets that run a request die one after the other, and its caller sends it
// again. The second time only one target is risked; from then on the request is
// refused, here and, by the shared conviction, on other hosts.
BOOST_AUTO_TEST_CASE(
    Forwarder_RequestCrashesTargets_RefusedAfterThreeAttempts) {
  for (int i = 0; i < 3; ++i) {
    const std::size_t before = port.sent.size();
    (void)Submit("/read/poison");
    for (std::size_t at = before; at < port.sent.size(); ++at) {
      End(port.sent[at], AttemptOutcome::kBroken, true);
    }
  }
  BOOST_TEST(port.quarantines.size() == 1U);
  BOOST_TEST(port.sent.size() == 3U);
  BOOST_TEST(
      (port.delivered.back().answer.reason == ForwardReason::kCrashesTargets));
}

BOOST_AUTO_TEST_CASE(Forwarder_QuarantinedByOtherHost_RequestIsRefused) {
  OpaqueRequest poison;
  poison.method = "GET";
  poison.host = "desk.example";
  poison.target = "/read/poison";
  forwarder.QuarantineRequest(FingerprintOf(poison), clock.Now());
  (void)Submit("/read/poison");
  BOOST_TEST(port.sent.empty());
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kNotRun));
}

BOOST_AUTO_TEST_CASE(Forwarder_OlderConfig_IsIgnored) {
  BOOST_TEST(forwarder.SetConfig(Config(3)));
  BOOST_TEST(!forwarder.SetConfig(Config(2)));
  BOOST_TEST(forwarder.config()->version() == 3U);
}

BOOST_AUTO_TEST_CASE(Forwarder_DeadlineTooShort_RefusesWithoutSending) {
  WarmUp("/read/1", milliseconds(80));
  (void)Submit("/read/2", milliseconds(30));
  BOOST_TEST(port.sent.empty());
  BOOST_TEST((OnlyAnswer().answer.reason == ForwardReason::kDeadline));
}

// Guards against a retry or hedge into an evacuated domain, and against the
// loss of what is under way there.
BOOST_AUTO_TEST_CASE(Domain_EvacuatedDuringCall_RunningAttemptAnswers) {
  WarmUp("/read/1", milliseconds(10));
  (void)Submit("/read/1");
  const OutgoingAttempt running = port.sent.back();
  for (TargetEntry& entry : targets) {
    entry.evacuated = entry.domain == running.target.domain;
  }
  forwarder.SetTargets(targets, clock.Now());
  for (int i = 0; i < 20; ++i) {
    (void)Submit("/read/1");
    End(port.sent.back(), AttemptOutcome::kBroken);
    Advance(milliseconds(20));
  }
  for (std::size_t at = 1; at < port.sent.size(); ++at) {
    BOOST_TEST(port.sent[at].target.domain != running.target.domain);
  }
  const CallId call(next_call - 21);
  Answer(running);
  const auto answered =
      std::ranges::find(port.delivered, call, &RecordingPort::Delivered::call);
  BOOST_REQUIRE(answered != port.delivered.end());
  BOOST_TEST((answered->answer.kind == AnswerKind::kResponse));
}

// Guards against callers that wait for a service whose targets are evacuated.
BOOST_AUTO_TEST_CASE(
    Domain_EvacuatedWithAllTargetsOfService_CallIsRefusedImmediately) {
  for (TargetEntry& entry : targets) {
    entry.evacuated = entry.service == ServiceId("plain") ||
                      entry.service == ServiceId("shard-1");
  }
  forwarder.SetTargets(targets, clock.Now());
  (void)Submit("/read/1");
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kNotRun));
  BOOST_TEST(OnlyAnswer().answer.retry_after.has_value());
  BOOST_TEST(port.sent.empty());
  port.delivered.clear();
  (void)Submit("/fan/1");
  BOOST_TEST(port.sent.size() == kShards - 1);
  for (const OutgoingAttempt& attempt : port.sent) {
    Answer(attempt);
  }
  BOOST_TEST(OnlyAnswer().answer.missing_parts == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
