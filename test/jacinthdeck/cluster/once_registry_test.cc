// Tests of the decisions on requests that may run at most once.
#include "jacinthdeck/cluster/once_registry.h"

#include <boost/test/unit_test.hpp>

#include "jacinthdeck/core/manual_clock.h"
#include "support/printers.h"

namespace jacinthdeck {

struct OnceFixture {
  OnceFixture() { clock.Advance(std::chrono::hours(2)); }

  [[nodiscard]] static SelfInfo Self() {
    SelfInfo self;
    self.node = NodeId("akl-1");
    self.incarnation = Incarnation(7);
    return self;
  }

  [[nodiscard]] RequestId Id(const std::string& nonce) const {
    return *RequestId::Parse(registry.MakeToken(clock.Now()) + "-" + nonce);
  }

  OnceDecision Arrive(const RequestId& id) {
    return registry.Arrive(id, clock.Now()).decision;
  }

  void Know(const std::string& node, std::uint64_t incarnation) {
    MemberUpdate update;
    update.node = NodeId(node);
    update.incarnation = Incarnation(incarnation);
    (void)table.Merge(update, clock.Now());
  }

  ManualClock clock;
  MemberTable table{Self(), ClusterOptions{}};
  OnceOptions options{.token_life = std::chrono::minutes(2),
                      .capacity = 3,
                      .answer_bytes = 100};
  OnceRegistry registry{Self(), options, table};
};

BOOST_FIXTURE_TEST_SUITE(OnceRegistryTest, OnceFixture)

// The reply to a claim is lost and the caller sends it again, while it runs and
// after it has ended. It must run once and give the same answer.
BOOST_AUTO_TEST_CASE(Once_Resent_RunsOnceAndAnswersTheSame) {
  const RequestId id = Id("a");
  BOOST_TEST(Arrive(id) == OnceDecision::kRun);
  BOOST_TEST(Arrive(id) == OnceDecision::kAttach);
  registry.Finish(id, {200, "claimed"}, clock.Now());
  const OnceResult again = registry.Arrive(id, clock.Now());
  BOOST_TEST(again.decision == OnceDecision::kFinished);
  BOOST_REQUIRE(again.answer.has_value());
  BOOST_TEST(again.answer->body == "claimed");
}

// A claim ran and its answer was lost; its node is fenced, or leaves, when the
// caller comes again. The node takes nothing new, but "not run" would be
// untrue.
BOOST_AUTO_TEST_CASE(Once_ResentWhileIntakeIsClosed_TellsWhatIsKnown) {
  const RequestId id = Id("a");
  BOOST_TEST(Arrive(id) == OnceDecision::kRun);
  registry.Finish(id, {200, "claimed"}, clock.Now());
  const auto closed = [this](const RequestId& which) {
    return registry.Arrive(which, clock.Now(), OnceIntake::kClosed).decision;
  };
  BOOST_TEST(closed(id) == OnceDecision::kFinished);
  BOOST_TEST(closed(Id("b")) == OnceDecision::kRefused);
}

// A resend comes so late that the id was forgotten to bound the memory. Taken
// as new it would run a second time.
BOOST_AUTO_TEST_CASE(Once_ResentAfterExpiry_IsUnknownNotRun) {
  const RequestId id = Id("a");
  BOOST_TEST(Arrive(id) == OnceDecision::kRun);
  registry.Finish(id, {200, "claimed"}, clock.Now());
  clock.Advance(std::chrono::minutes(3));
  BOOST_TEST(Arrive(id) == OnceDecision::kUnknown);
  BOOST_TEST(registry.size() == 0U);
}

// A request runs for longer than its token lives. Its resend must not run
// beside it.
BOOST_AUTO_TEST_CASE(Once_RunningBeyondExpiry_ResendAttaches) {
  const RequestId id = Id("a");
  BOOST_TEST(Arrive(id) == OnceDecision::kRun);
  clock.Advance(std::chrono::minutes(3));
  BOOST_TEST(Arrive(id) == OnceDecision::kAttach);
  registry.Finish(id, {200, "late"}, clock.Now());
  BOOST_TEST(Arrive(id) == OnceDecision::kUnknown);
}

// A request waits beyond the life of its token and is then refused. Passed by
// in the sweep and never looked at again, its id would be held for ever.
BOOST_AUTO_TEST_CASE(Once_RefusedBeyondExpiry_IsForgottenLater) {
  const RequestId id = Id("a");
  BOOST_TEST(Arrive(id) == OnceDecision::kRun);
  clock.Advance(std::chrono::minutes(3));
  BOOST_TEST(Arrive(Id("b")) == OnceDecision::kRun);
  registry.Refuse(id);
  clock.Advance(std::chrono::minutes(5));
  (void)Arrive(Id("c"));
  BOOST_TEST(registry.size() == 2U);
}

// The node restarted with the same name and address. What its former life ran
// is not known any more.
BOOST_AUTO_TEST_CASE(Once_IdOfAFormerLife_IsUnknown) {
  RequestId id = Id("a");
  id.incarnation = Incarnation(6);
  BOOST_TEST(Arrive(id) == OnceDecision::kUnknown);
}

BOOST_AUTO_TEST_CASE(Once_IdOfALivePeer_IsForwardedThere) {
  Know("akl-2", 3);
  RequestId id = Id("a");
  id.node = NodeId("akl-2");
  id.incarnation = Incarnation(3);
  const OnceResult result = registry.Arrive(id, clock.Now());
  BOOST_TEST(result.decision == OnceDecision::kForward);
  BOOST_TEST(result.node.raw() == "akl-2");
}

// The peer that ran the request has restarted, died, or was never known. The
// request may have run there: running it here would double it.
BOOST_AUTO_TEST_CASE(Once_IdOfAGonePeerLife_IsUnknown) {
  Know("akl-2", 4);
  RequestId id = Id("a");
  id.node = NodeId("akl-2");
  id.incarnation = Incarnation(3);
  BOOST_TEST(Arrive(id) == OnceDecision::kUnknown);
  id.node = NodeId("akl-9");
  BOOST_TEST(Arrive(id) == OnceDecision::kUnknown);
}

// The id carries no time of ours, or one that has not come yet. Its age cannot
// be told later, so it is never run, at no time.
BOOST_AUTO_TEST_CASE(Once_IdWithoutATokenTime_IsInvalid) {
  for (const char* nonce :
       {"abc", "t-abc", "t12", "t12-", "x12-a", "t1x-a", "t-5-a",
        "t99999999999999999999-a", "t9223372036854775807-a"}) {
    const RequestId id{NodeId("akl-1"), Incarnation(7), nonce};
    BOOST_TEST(Arrive(id) == OnceDecision::kInvalid);
  }
}

BOOST_AUTO_TEST_CASE(Once_Full_RefusesNewIdsAndKeepsKnownOnes) {
  const RequestId first = Id("a");
  (void)Arrive(first);
  (void)Arrive(Id("b"));
  (void)Arrive(Id("c"));
  BOOST_TEST(Arrive(Id("d")) == OnceDecision::kRefused);
  BOOST_TEST(Arrive(first) == OnceDecision::kAttach);
}

// A leaving node takes nothing new, but a resend of what it has still gets its
// answer here: nowhere else is it known.
BOOST_AUTO_TEST_CASE(Once_Leaving_RefusesNewIdsOnly) {
  const RequestId id = Id("a");
  (void)Arrive(id);
  registry.set_accepting(false);
  BOOST_TEST(Arrive(id) == OnceDecision::kAttach);
  BOOST_TEST(Arrive(Id("b")) == OnceDecision::kRefused);
}

// Stored answers outgrow their bound. The oldest answer goes, but its id stays:
// a resend is told "unknown" and does not run.
BOOST_AUTO_TEST_CASE(Once_AnswersTooLarge_OldestBecomesUnknown) {
  const RequestId old = Id("a");
  const RequestId young = Id("b");
  (void)Arrive(old);
  (void)Arrive(young);
  registry.Finish(old, {200, std::string(80, 'x')}, clock.Now());
  registry.Finish(young, {200, std::string(80, 'y')}, clock.Now());
  BOOST_TEST(Arrive(old) == OnceDecision::kUnknown);
  BOOST_TEST(Arrive(young) == OnceDecision::kFinished);
}

// A copy of a claim is refused, before or after it was told to run, and its
// caller is told "not run". Another copy comes late, when the node would take
// it; if it ran, the refusal would have been untrue.
BOOST_AUTO_TEST_CASE(Once_Refused_NeverRuns) {
  const RequestId id = Id("a");
  (void)Arrive(id);
  registry.Refuse(id);
  BOOST_TEST(Arrive(id) == OnceDecision::kRefused);
  const RequestId other = Id("b");
  (void)registry.Arrive(other, clock.Now(), OnceIntake::kClosed);
  BOOST_TEST(Arrive(other) == OnceDecision::kRefused);
}

// The notes of refusals are bounded too. Without room for one, a late copy may
// run yet, so the caller is told "unknown".
BOOST_AUTO_TEST_CASE(Once_TooManyRefusals_AreUnknown) {
  for (const char* nonce : {"a", "b", "c"}) {
    const OnceResult result =
        registry.Arrive(Id(nonce), clock.Now(), OnceIntake::kClosed);
    BOOST_TEST(result.decision == OnceDecision::kRefused);
  }
  BOOST_TEST(
      registry.Arrive(Id("d"), clock.Now(), OnceIntake::kClosed).decision ==
      OnceDecision::kUnknown);
  BOOST_TEST(Arrive(Id("e")) == OnceDecision::kRun);
  clock.Advance(std::chrono::minutes(3));
  (void)Arrive(Id("f"));
  BOOST_TEST(registry.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
