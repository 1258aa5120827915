// Tests of calls for one service: retries, and what callers are told.
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

// Guards against a failure that reaches the caller although a retry is
// possible. The first target fails after it executed the request; the request
// may be executed again, so another target gets it, and the caller sees one
// answer.
BOOST_AUTO_TEST_CASE(Forwarder_IdempotentRequestFails_RetriedAtAnotherTarget) {
  (void)Submit("/read/1");
  Fail(port.sent[0], 500);
  BOOST_REQUIRE_EQUAL(port.sent.size(), 2U);
  BOOST_TEST(port.sent[0].target.id != port.sent[1].target.id);
  Answer(port.sent[1], "body");
  BOOST_TEST(OnlyAnswer().answer.response.status == 200);
}

// Guards against a request that is executed twice. An at-most-once request
// loses its connection to the target before the response. It may have been
// executed: a retry could execute it again, and the answer "not run" would make
// the caller send it again.
BOOST_AUTO_TEST_CASE(Forwarder_AtMostOnceConnectionLost_FailsWithoutRetry) {
  (void)Submit("/claim/1");
  End(port.sent[0], AttemptOutcome::kBroken, true);
  BOOST_TEST(port.sent.size() == 1U);
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kFailed));
}

// Guards against a failure where a retry is safe. A full target refuses an
// at-most-once request and reports that it did not execute it, so another
// target may get it.
BOOST_AUTO_TEST_CASE(Forwarder_AtMostOnceIsShed_RetriedAtAnotherTarget) {
  (void)Submit("/claim/1");
  End(port.sent[0], AttemptOutcome::kNotExecuted);
  BOOST_REQUIRE_EQUAL(port.sent.size(), 2U);
  Answer(port.sent[1]);
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kResponse));
}

// Guards against a promise "not run" that no target has made: a caller sends a
// request that may run once again after one of these statuses.
BOOST_AUTO_TEST_CASE(Forwarder_RunEndsWithRefusalStatus_CallFails) {
  for (const int status : {408, 421, 429, 503}) {
    for (const char* path : {"/claim/1", "/read/1"}) {
      (void)Submit(path);
      for (std::size_t at = 0; at < port.sent.size(); ++at) {
        Fail(port.sent[at], status);
      }
      const ForwardAnswer& answer = OnlyAnswer().answer;
      BOOST_TEST((answer.kind == AnswerKind::kFailed), status << path);
      BOOST_TEST((answer.reason == ForwardReason::kTargetsFailed));
      BOOST_TEST(!answer.retry_after.has_value());
      BOOST_TEST(answer.response.stamp.empty());
      port.sent.clear();
      port.delivered.clear();
      Advance(seconds(5));
    }
  }
}

// The first target runs the request and answers 503, and the second one has not
// executed it: the call has run, whichever attempt ends last.
BOOST_AUTO_TEST_CASE(Forwarder_RefusalStatusThenNotExecuted_CallFails) {
  (void)Submit("/read/1");
  Fail(port.sent[0], 503);
  for (std::size_t at = 1; at < port.sent.size(); ++at) {
    End(port.sent[at], AttemptOutcome::kNotExecuted);
  }
  Advance(kTimeout);
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kFailed));
}

// Guards against a status that no target has returned: other failures are
// passed on unchanged.
BOOST_AUTO_TEST_CASE(Forwarder_RunEndsWithOtherFailure_ResponseIsPassedOn) {
  for (const int status : {400, 404, 409, 500, 502, 504}) {
    (void)Submit("/claim/1");
    BOOST_REQUIRE_EQUAL(port.sent.size(), 1U);
    Fail(port.sent[0], status);
    BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kResponse), status);
    BOOST_TEST(OnlyAnswer().answer.response.status == status);
    BOOST_TEST(OnlyAnswer().answer.response.stamp == "stamp");
    port.sent.clear();
    port.delivered.clear();
    Advance(seconds(5));
  }
}

// Guards against callers that wait until their deadline. Every target refuses
// the request without executing it, so the answer "not run" is true, and the
// caller gets it with a retry time.
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

// Guards against a call that spends all its attempts on closed ports. All
// targets of a service were killed and refuse connections. The call does not
// retry them in the same millisecond, but waits for another target and finds
// one that has just started.
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

// As above, but no target starts: the caller gets "not run" long before its
// deadline, and each closed port was tried once.
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

// Guards against further requests to an address that belongs to another service
// now. Its new owner refuses because of the expected target id; the target is
// not tried again, and another one handles the request.
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

// Guards against a token that is not given back although no target has run the
// request, and against one that is although a target may have.
BOOST_AUTO_TEST_CASE(Forwarder_CallerDisconnects_TellsWhetherCallMayHaveRun) {
  const CallId sent = Submit("/read/1");
  BOOST_TEST(forwarder.Abandon(sent, clock.Now()));
  BOOST_TEST(!forwarder.Abandon(sent, clock.Now()));
  port.sent.clear();
  const CallId refused = Submit("/read/2");
  for (std::size_t at = 0; at < port.sent.size(); ++at) {
    End(port.sent[at], AttemptOutcome::kNotSent);
  }
  BOOST_TEST(!forwarder.Abandon(refused, clock.Now()));
}

// Guards against wasted work. A caller closes its connection during its call,
// so every attempt is cancelled immediately.
BOOST_AUTO_TEST_CASE(Forwarder_CallerDisconnects_AttemptsAreCancelled) {
  const CallId call = Submit("/fan/1");
  forwarder.Abandon(call, clock.Now());
  BOOST_TEST(port.cancelled.size() == kShards);
  BOOST_TEST(port.delivered.empty());
  BOOST_TEST(forwarder.open_calls() == 0U);
}

// Guards against a call that waits for a paused target. After the usual latency
// a second target gets the request, and its answer is delivered; a third
// attempt would exceed the limit of the route.
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

// Guards against a response of another process: without the stamp of the
// target, the caller must not get it as a success.
BOOST_AUTO_TEST_CASE(Forwarder_SuccessWithoutStamp_Fails) {
  (void)Submit("/claim/1");
  AttemptEnd end;
  end.id = port.sent[0].id;
  end.outcome = AttemptOutcome::kResponse;
  end.response.status = 200;
  forwarder.OnAttemptEnd(end, clock.Now());
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kFailed));
}

// Guards against a request that crashes one target after another because its
// caller repeats it. The second call risks only one target. From then on the
// request is refused, on this host and, through the shared quarantine, on the
// others.
BOOST_AUTO_TEST_CASE(
    Forwarder_RequestCrashesTargets_RefusedAfterThreeAttempts) {
  for (int i = 0; i < 3; ++i) {
    const std::size_t before = port.sent.size();
    (void)Submit("/read/poison");
    for (std::size_t at = before; at < port.sent.size(); ++at) {
      Crash(port.sent[at]);
    }
  }
  BOOST_TEST(port.quarantines.size() == 1U);
  BOOST_TEST(port.sent.size() == 3U);
  BOOST_TEST(
      (port.delivered.back().answer.reason == ForwardReason::kCrashesTargets));
}

// Guards against a host that is cut off from a failure domain, takes all its
// targets for ended and has their requests quarantined by all hosts.
BOOST_AUTO_TEST_CASE(Check_TimesOutAndDomainIsSilent_RequestIsNotSuspect) {
  (void)Submit("/read/1");
  const OutgoingAttempt first = port.sent.front();
  End(first, AttemptOutcome::kBroken, true);
  forwarder.OnTargetChecked(first.target.id, TargetCheck::kTimedOut,
                            clock.Now());
  BOOST_TEST(port.suspects.empty());
}

// The same where another target of the domain answers during the check.
BOOST_AUTO_TEST_CASE(Check_TimesOutAndDomainAnswers_RequestIsSuspect) {
  (void)Submit("/read/1");
  const OutgoingAttempt first = port.sent.front();
  (void)Submit("/fan/1");
  End(first, AttemptOutcome::kBroken, true);
  clock.Advance(milliseconds(1));
  const std::vector<OutgoingAttempt> sent(port.sent);
  for (const OutgoingAttempt& attempt : sent) {
    if (attempt.id != first.id &&
        attempt.target.domain == first.target.domain) {
      Answer(attempt, std::string(16, 'a'));
    }
  }
  forwarder.OnTargetChecked(first.target.id, TargetCheck::kTimedOut,
                            clock.Now());
  BOOST_TEST(port.suspects.size() == 1U);
}

// Guards against a target that resets connections over its limit and is taken
// for ended, and against calls that are still sent to it.
BOOST_AUTO_TEST_CASE(Connection_IsReset_TargetIsNotChosenAndNotTakenForEnded) {
  (void)Submit("/read/1");
  const OutgoingAttempt first = port.sent.front();
  End(first, AttemptOutcome::kBroken, true);
  (void)Submit("/read/2");
  AttemptEnd end;
  end.id = port.sent.back().id;
  end.outcome = AttemptOutcome::kNotSent;
  end.reset = true;
  const TargetId reset = port.sent.back().target.id;
  forwarder.OnAttemptEnd(end, clock.Now());
  forwarder.OnTargetChecked(first.target.id, TargetCheck::kReset, clock.Now());
  BOOST_TEST(port.suspects.empty());
  BOOST_TEST(
      (port.reachability == std::vector{std::pair(reset, false),
                                        std::pair(first.target.id, false)}));
}

BOOST_AUTO_TEST_CASE(Forwarder_QuarantinedByOtherHost_RequestIsRefused) {
  OpaqueRequest poison;
  poison.method = "GET";
  poison.host = "desk.example";
  poison.target = "/read/poison";
  forwarder.QuarantineRequest(FingerprintOf(poison), ServiceId("plain"),
                              clock.Now());
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

// Guards against a retry or hedge to an evacuated domain, and against the loss
// of attempts in flight there.
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

// Guards against callers that wait for a service whose targets are all
// evacuated.
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
