// Tests of targets that refuse connections: the choice, the probes and what
// callers are told.
#include <boost/test/unit_test.hpp>

#include "jacinthdeck/forward/forwarder_fixture.h"

namespace jacinthdeck {

struct ReachabilityFixture : ForwarderFixture {
  static constexpr Duration kRefusalTime = milliseconds(2);

  //! Lets an attempt find that its target refuses connections.
  void Refuse(const OutgoingAttempt& attempt) {
    AttemptEnd end;
    end.id = attempt.id;
    end.outcome = AttemptOutcome::kNotSent;
    end.unreachable = true;
    forwarder.OnAttemptEnd(end, clock.Now());
  }

  //! Lets all targets of the plain service refuse a connection each.
  void RefuseAll() {
    (void)Submit("/read/1");
    for (std::size_t i = 0; i < kReplicas; ++i) {
      BOOST_REQUIRE_EQUAL(port.sent.size(), i + 1);
      Advance(kRefusalTime);
      Refuse(OutgoingAttempt(port.sent[i]));
    }
    port.sent.clear();
    port.delivered.clear();
  }

  [[nodiscard]] std::size_t CountLive() const {
    return forwarder.targets().CountLive(ServiceId("plain"));
  }
};

BOOST_FIXTURE_TEST_SUITE(ReachabilityTest, ReachabilityFixture)

// Guards against calls that cannot be served and are sent out nevertheless.
BOOST_AUTO_TEST_CASE(Call_AllTargetsRefuse_IsRefusedUntilNextProbe) {
  RefuseAll();
  (void)Submit("/read/2");
  BOOST_TEST(port.sent.empty());
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kNotRun));
  BOOST_TEST((OnlyAnswer().answer.reason == ForwardReason::kNoTarget));
  // The target that refused first is probed first.
  const Duration since = kRefusalTime * (kReplicas - 1);
  BOOST_TEST((OnlyAnswer().answer.retry_after ==
              UnreachableTargets::kFirstInterval - since + kRefusalTime));
}

// Guards against a host with a faulty link that takes all targets for gone.
BOOST_AUTO_TEST_CASE(Target_ConnectionTimesOut_StaysInChoice) {
  (void)Submit("/read/1");
  End(OutgoingAttempt(port.sent.front()), AttemptOutcome::kNotSent);
  forwarder.OnTargetChecked(port.sent.front().target.id, TargetCheck::kTimedOut,
                            clock.Now());
  BOOST_TEST(CountLive() == kReplicas);
}

// Guards against one probe for each call.
BOOST_AUTO_TEST_CASE(Target_Refuses_IsProbedByOneCheckAtATime) {
  RefuseAll();
  port.checked.clear();
  Advance(UnreachableTargets::kMaxInterval);
  BOOST_TEST(port.checked.size() == kReplicas);
}

BOOST_AUTO_TEST_CASE(Target_ProbeOpensConnection_IsChosenAgain) {
  RefuseAll();
  Advance(UnreachableTargets::kFirstInterval);
  const TargetId id = port.checked.back();
  forwarder.OnTargetChecked(id, TargetCheck::kReachable, clock.Now());
  BOOST_TEST(CountLive() == 1U);
  BOOST_TEST((port.reachability.back() == std::pair(id, true)));
  (void)Submit("/read/2");
  BOOST_TEST((port.sent.back().target.id == id));
}

BOOST_AUTO_TEST_CASE(Target_LaterStartIsListed_IsChosenAgain) {
  RefuseAll();
  for (TargetEntry& entry : targets) {
    entry.started_ms += entry.id == TargetId("plain/0") ? 1 : 0;
  }
  forwarder.SetTargets(targets, clock.Now());
  BOOST_TEST(CountLive() == 1U);
  BOOST_TEST(forwarder.unreachable_targets() == kReplicas - 1);
}

BOOST_AUTO_TEST_CASE(Target_ProbesFail_AreLessFrequent) {
  UnreachableTargets unreachable;
  const TargetId id("plain/0");
  BOOST_TEST(unreachable.Add(id, kRefusalTime, clock.Now()));
  BOOST_TEST(!unreachable.Add(id, kRefusalTime, clock.Now()));
  Duration interval = UnreachableTargets::kFirstInterval;
  for (int probe = 0; probe < 8; ++probe) {
    BOOST_TEST(
        unreachable.TakeDue(clock.Now() + interval - Duration(1)).empty());
    clock.Advance(interval);
    BOOST_REQUIRE_EQUAL(unreachable.TakeDue(clock.Now()).size(), 1U);
    BOOST_TEST(unreachable.TakeDue(clock.Now() + seconds(9)).empty());
    clock.Advance(kRefusalTime);
    unreachable.OnProbeFailed(id, clock.Now());
    interval = std::min(2 * interval, UnreachableTargets::kMaxInterval);
    BOOST_TEST((unreachable.NextResult(id, clock.Now()) ==
                clock.Now() + interval + kRefusalTime));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
