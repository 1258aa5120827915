// Tests of the quarantine of requests that crash their targets.
#include "jacinthdeck/forward/crash_guard.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <string>

#include "jacinthdeck/core/manual_clock.h"

namespace jacinthdeck {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct CrashGuardFixture {
  CrashGuard guard;
  ManualClock clock;
  const Fingerprint request{7};

  [[nodiscard]] GuardedAttempt Attempt(const std::string& target,
                                       Fingerprint fingerprint) const {
    return {.fingerprint = fingerprint,
            .service = ServiceId(target.substr(0, target.find('/'))),
            .target = TargetId(target),
            .sent = clock.Now(),
            .probe = guard.StateOf(fingerprint, clock.Now()) ==
                     QuarantineState::kSuspect};
  }

  //! Sends an attempt whose connection the target closes without an answer.
  GuardedAttempt LoseAnswer(const std::string& target) {
    GuardedAttempt attempt = Attempt(target, request);
    guard.OnSent(attempt);
    guard.OnUnanswered(attempt, true, clock.Now(), clock.Now());
    return attempt;
  }

  //! Sends an attempt under which the target ends.
  [[nodiscard]] CrashGuardChanges Crash(const std::string& target) {
    return guard.OnTargetEnded(LoseAnswer(target).target, clock.Now());
  }

  void Answer(const std::string& target, Fingerprint fingerprint) {
    const GuardedAttempt attempt = Attempt(target, fingerprint);
    guard.OnSent(attempt);
    guard.OnAnswered(attempt, clock.Now());
  }

  [[nodiscard]] QuarantineState State() const {
    return guard.StateOf(request, clock.Now());
  }
};

BOOST_FIXTURE_TEST_SUITE(CrashGuardTest, CrashGuardFixture)

BOOST_AUTO_TEST_CASE(Request_ProbeCrashesTarget_IsQuarantinedOnce) {
  const CrashGuardChanges first = Crash("s/1");
  BOOST_TEST((State() == QuarantineState::kSuspect));
  BOOST_TEST(first.suspects.size() == 1U);
  BOOST_TEST(first.quarantined.empty());
  BOOST_TEST(Crash("s/2").quarantined.size() == 1U);
  BOOST_TEST((State() == QuarantineState::kQuarantined));
  BOOST_TEST(Crash("s/3").quarantined.empty());
  clock.Advance(CrashGuard::kFirstQuarantine);
  BOOST_TEST((State() != QuarantineState::kQuarantined));
}

// Guards against a harmless request that is refused for long, since the target
// of its probe ended for another reason, and against a crashing one that costs
// a target each minute.
BOOST_AUTO_TEST_CASE(Quarantine_FirstExpires_NextOneIsLonger) {
  (void)Crash("s/1");
  BOOST_TEST((Crash("s/2").quarantined.front().quarantined_for ==
              CrashGuard::kFirstQuarantine));
  clock.Advance(CrashGuard::kFirstQuarantine);
  BOOST_TEST((State() == QuarantineState::kSuspect));
  BOOST_TEST((Crash("s/3").quarantined.front().quarantined_for ==
              CrashGuard::kLaterQuarantine));
  clock.Advance(CrashGuard::kFirstQuarantine);
  BOOST_TEST((State() == QuarantineState::kQuarantined));
}

// The same at a host that learned of both quarantines from another one.
BOOST_AUTO_TEST_CASE(PeerQuarantine_FirstExpires_NextOneIsLonger) {
  guard.AddPeerQuarantine(request, ServiceId("s"), clock.Now());
  clock.Advance(CrashGuard::kFirstQuarantine);
  BOOST_TEST((State() == QuarantineState::kSuspect));
  guard.AddPeerQuarantine(request, ServiceId("s"), clock.Now());
  clock.Advance(CrashGuard::kFirstQuarantine);
  BOOST_TEST((State() == QuarantineState::kQuarantined));
}

// Guards against the quarantine of a popular request whose answers are lost by
// targets that go on running: its callers would all be refused.
BOOST_AUTO_TEST_CASE(Request_AnswersLostByRunningTargets_IsNotSuspect) {
  for (int lost = 0; lost < 4; ++lost) {
    const GuardedAttempt attempt = LoseAnswer("s/1");
    const auto checks = guard.TakeDueChecks(clock.Now());
    BOOST_REQUIRE_EQUAL(checks.size(), 1U);
    const auto changes = guard.OnTargetChecked(
        attempt.target, TargetCheck::kReachable, clock.Now());
    BOOST_TEST(changes.suspects.empty());
    BOOST_TEST((State() == QuarantineState::kNone));
  }
  BOOST_TEST(guard.unresolved().size() == 0U);
}

// A later answer of the target shows the same without a check.
BOOST_AUTO_TEST_CASE(Request_TargetAnswersLaterAttempt_TargetSurvivedIt) {
  (void)LoseAnswer("s/1");
  clock.Advance(milliseconds(1));
  Answer("s/1", Fingerprint(8));
  BOOST_TEST(guard.unresolved().size() == 0U);
  BOOST_TEST(
      guard.OnTargetEnded(TargetId("s/1"), clock.Now()).suspects.empty());
}

// Guards against evidence that is dropped by the answer to an attempt that ran
// beside the one that ended the target.
BOOST_AUTO_TEST_CASE(Request_TargetAnswersEarlierAttempt_StaysUnresolved) {
  const GuardedAttempt earlier = Attempt("s/1", Fingerprint(8));
  clock.Advance(milliseconds(1));
  (void)LoseAnswer("s/1");
  guard.OnAnswered(earlier, clock.Now());
  BOOST_TEST(guard.unresolved().size() == 1U);
}

// Guards against a quarantine of a popular request, whose callers would all be
// refused: it runs on some target whenever another request ends one.
BOOST_AUTO_TEST_CASE(Request_AnsweredBeforeAndAfter_IsNotQuarantined) {
  for (const char* target : {"s/1", "s/2", "s/3"}) {
    Answer("s/4", request);
    BOOST_TEST(Crash(target).suspects.empty());
    guard.AddPeerSuspect(request, ServiceId("s"), clock.Now());
    guard.AddPeerQuarantine(request, ServiceId("s"), clock.Now());
    BOOST_TEST((State() == QuarantineState::kNone));
    clock.Advance(CrashGuard::kAnswerRetention - milliseconds(1));
    BOOST_TEST(guard.TakeDueEvidence(clock.Now()).suspects.empty());
  }
  const GuardedAttempt last = Attempt("s/4", request);
  BOOST_TEST(guard.OnAnswered(last, clock.Now()).ignored.size() == 3U);
  clock.Advance(CrashGuard::kAnswerRetention);
  BOOST_TEST(guard.TakeDueEvidence(clock.Now()).suspects.empty());
  BOOST_TEST((State() == QuarantineState::kNone));
}

// Guards against a request that was answered and then crashes its targets: its
// answers speak for it no longer than they come.
BOOST_AUTO_TEST_CASE(Request_AnswersEnd_DeferredCrashMakesItSuspect) {
  Answer("s/1", request);
  clock.Advance(milliseconds(1));
  BOOST_TEST(Crash("s/1").suspects.empty());
  BOOST_REQUIRE((guard.NextDue() ==
                 clock.Now() - milliseconds(1) + CrashGuard::kAnswerRetention));
  clock.Advance(CrashGuard::kAnswerRetention);
  BOOST_TEST(guard.TakeDueEvidence(clock.Now()).suspects.size() == 1U);
  BOOST_TEST(Crash("s/2").quarantined.size() == 1U);
}

// Guards against an answer to an attempt that ran before the one that ended its
// target.
BOOST_AUTO_TEST_CASE(Request_EarlierAttemptAnswered_CrashStaysDeferred) {
  Answer("s/1", request);
  const GuardedAttempt earlier = Attempt("s/3", request);
  clock.Advance(milliseconds(1));
  (void)Crash("s/1");
  BOOST_TEST(guard.OnAnswered(earlier, clock.Now()).ignored.empty());
  clock.Advance(CrashGuard::kAnswerRetention);
  BOOST_TEST(guard.TakeDueEvidence(clock.Now()).suspects.size() == 1U);
}

// Guards against reports of other hosts that are dropped by an earlier answer.
BOOST_AUTO_TEST_CASE(PeerQuarantine_AnswersEnd_TakesEffect) {
  Answer("s/1", request);
  guard.AddPeerQuarantine(request, ServiceId("s"), clock.Now());
  clock.Advance(CrashGuard::kAnswerRetention);
  (void)guard.TakeDueEvidence(clock.Now());
  BOOST_TEST((State() == QuarantineState::kQuarantined));
}

BOOST_AUTO_TEST_CASE(Request_AnswerExpired_IsQuarantined) {
  Answer("s/1", request);
  clock.Advance(CrashGuard::kAnswerRetention);
  (void)Crash("s/1");
  BOOST_TEST(Crash("s/2").quarantined.size() == 1U);
}

// Guards against answers of other shards that protect a request which ends the
// targets of one.
BOOST_AUTO_TEST_CASE(Request_AnsweredByOtherService_IsQuarantined) {
  Answer("t/1", request);
  (void)Crash("s/1");
  Answer("t/1", request);
  BOOST_TEST(Crash("s/2").quarantined.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Request_OtherRequestsAnswered_IsQuarantined) {
  (void)Crash("s/1");
  for (std::uint64_t other = 100; other < 5000; ++other) {
    Answer("s/2", Fingerprint(other));
  }
  BOOST_TEST(Crash("s/2").quarantined.size() == 1U);
}

// Guards against an answer of another shard that clears a request.
BOOST_AUTO_TEST_CASE(Suspect_OtherServiceAnswers_StaysSuspect) {
  (void)Crash("s/1");
  Answer("t/1", request);
  BOOST_TEST((State() == QuarantineState::kSuspect));
  Answer("s/2", request);
  BOOST_TEST((State() == QuarantineState::kNone));
}

// Guards against an error that clears a suspect and then speaks for it: the
// target may have failed before it ran the request.
BOOST_AUTO_TEST_CASE(Suspect_TargetReturnsError_StaysSuspect) {
  (void)Crash("s/1");
  const GuardedAttempt probe = Attempt("s/2", request);
  guard.OnSent(probe);
  guard.OnFailed(probe);
  BOOST_TEST(!guard.IsProbing(request));
  BOOST_TEST((State() == QuarantineState::kSuspect));
  BOOST_TEST(Crash("s/3").quarantined.size() == 1U);
}

// Guards against the same at a host that another one told of the request.
BOOST_AUTO_TEST_CASE(PeerSuspect_OtherServiceAnswers_StaysSuspect) {
  guard.AddPeerSuspect(request, ServiceId("s"), clock.Now());
  Answer("t/1", request);
  BOOST_TEST((State() == QuarantineState::kSuspect));
  BOOST_TEST(Crash("s/1").quarantined.size() == 1U);
}

// Guards against a second probe while the target of the first may have ended.
BOOST_AUTO_TEST_CASE(Probe_TargetIsNotResolved_IsProbing) {
  (void)Crash("s/1");
  (void)LoseAnswer("s/2");
  BOOST_TEST(guard.IsProbing(request));
  BOOST_TEST(guard.RunsProbe(TargetId("s/2")));
  (void)guard.TakeDueChecks(clock.Now());
  (void)guard.OnTargetChecked(TargetId("s/2"), TargetCheck::kReachable,
                              clock.Now());
  BOOST_TEST(!guard.IsProbing(request));
  BOOST_TEST((State() == QuarantineState::kSuspect));
}

// Guards against a restarted process at the address of a silent target: that
// it accepts connections says nothing of the target.
BOOST_AUTO_TEST_CASE(Request_CancelledAndAddressReachable_StaysUnresolved) {
  const GuardedAttempt attempt = Attempt("s/1", request);
  guard.OnUnanswered(attempt, false, clock.Now(), clock.Now());
  clock.Advance(UnresolvedAttempts::kCheckDelay);
  BOOST_REQUIRE_EQUAL(guard.TakeDueChecks(clock.Now()).size(), 1U);
  (void)guard.OnTargetChecked(attempt.target, TargetCheck::kReachable,
                              clock.Now());
  BOOST_TEST(guard.unresolved().size() == 1U);
  BOOST_TEST(guard.OnTargetEnded(attempt.target, clock.Now()).suspects.size() ==
             1U);
}

BOOST_AUTO_TEST_CASE(Probe_TargetFateStaysUnknown_EndsAfterRetention) {
  (void)Crash("s/1");
  (void)LoseAnswer("s/2");
  BOOST_REQUIRE_EQUAL(guard.TakeDueChecks(clock.Now()).size(), 1U);
  clock.Advance(UnresolvedAttempts::kRetention);
  BOOST_TEST(guard.TakeDueChecks(clock.Now()).empty());
  BOOST_TEST(!guard.IsProbing(request));
  BOOST_TEST(!guard.unresolved().NextDue().has_value());
}

BOOST_AUTO_TEST_CASE(Check_TargetCouldNotBeTried_IsRepeatedAfterPause) {
  (void)LoseAnswer("s/1");
  BOOST_REQUIRE_EQUAL(guard.TakeDueChecks(clock.Now()).size(), 1U);
  (void)guard.OnTargetChecked(TargetId("s/1"), TargetCheck::kUnknown,
                              clock.Now());
  BOOST_TEST(guard.TakeDueChecks(clock.Now()).empty());
  clock.Advance(UnresolvedAttempts::kCheckPause);
  BOOST_TEST(guard.TakeDueChecks(clock.Now()).size() == 1U);
}

// Guards against the quarantine of a harmless request whose target resets
// connections but runs.
BOOST_AUTO_TEST_CASE(Check_ConnectionIsReset_IsNoEvidence) {
  (void)LoseAnswer("s/1");
  BOOST_REQUIRE_EQUAL(guard.TakeDueChecks(clock.Now()).size(), 1U);
  BOOST_TEST(
      guard.OnTargetChecked(TargetId("s/1"), TargetCheck::kReset, clock.Now())
          .suspects.empty());
  BOOST_TEST((State() == QuarantineState::kNone));
  clock.Advance(UnresolvedAttempts::kCheckPause);
  BOOST_REQUIRE_EQUAL(guard.TakeDueChecks(clock.Now()).size(), 1U);
  (void)guard.OnTargetChecked(TargetId("s/1"), TargetCheck::kReachable,
                              clock.Now());
  BOOST_TEST(guard.unresolved().size() == 0U);
}

// Guards against a crash that stays unnoticed since the target ended with
// connections that it had not accepted.
BOOST_AUTO_TEST_CASE(Check_ConnectionIsResetThenRefused_RequestIsSuspect) {
  (void)LoseAnswer("s/1");
  BOOST_REQUIRE_EQUAL(guard.TakeDueChecks(clock.Now()).size(), 1U);
  (void)guard.OnTargetChecked(TargetId("s/1"), TargetCheck::kReset,
                              clock.Now());
  clock.Advance(UnresolvedAttempts::kCheckPause);
  BOOST_REQUIRE_EQUAL(guard.TakeDueChecks(clock.Now()).size(), 1U);
  BOOST_TEST(guard
                 .OnTargetChecked(TargetId("s/1"), TargetCheck::kUnreachable,
                                  clock.Now())
                 .suspects.size() == 1U);
  BOOST_TEST((State() == QuarantineState::kSuspect));
}

// Guards against checks that take the connections which a target at its limit
// has left.
BOOST_AUTO_TEST_CASE(Check_ConnectionsAreReset_ChecksAreLessFrequent) {
  (void)LoseAnswer("s/1");
  Duration pause = UnresolvedAttempts::kCheckPause;
  for (int check = 0; check < 6; ++check) {
    BOOST_REQUIRE_EQUAL(guard.TakeDueChecks(clock.Now()).size(), 1U);
    (void)guard.OnTargetChecked(TargetId("s/1"), TargetCheck::kReset,
                                clock.Now());
    clock.Advance(pause - Duration(1));
    BOOST_TEST(guard.TakeDueChecks(clock.Now()).empty());
    clock.Advance(Duration(1));
    pause = std::min(2 * pause, UnresolvedAttempts::kMaxCheckPause);
  }
}

// Guards against the result of a check that began before the attempt ended.
BOOST_AUTO_TEST_CASE(Check_BeganBeforeAttemptEnded_TargetIsCheckedAgain) {
  (void)LoseAnswer("s/1");
  BOOST_REQUIRE_EQUAL(guard.TakeDueChecks(clock.Now()).size(), 1U);
  clock.Advance(milliseconds(1));
  (void)LoseAnswer("s/1");
  BOOST_TEST(guard.TakeDueChecks(clock.Now()).empty());
  (void)guard.OnTargetChecked(TargetId("s/1"), TargetCheck::kReachable,
                              clock.Now());
  BOOST_TEST(guard.unresolved().size() == 1U);
  BOOST_TEST(guard.TakeDueChecks(clock.Now()).size() == 1U);
}

// Guards against an unbounded table while callers disconnect in masses.
BOOST_AUTO_TEST_CASE(Unresolved_TableIsFull_FurtherAttemptsAreDropped) {
  for (std::size_t at = 0; at < UnresolvedAttempts::kMaxAttempts + 10; ++at) {
    guard.OnUnanswered(Attempt("s/" + std::to_string(at % 50), request), false,
                       clock.Now(), clock.Now());
  }
  BOOST_TEST(guard.unresolved().size() == UnresolvedAttempts::kMaxAttempts);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
