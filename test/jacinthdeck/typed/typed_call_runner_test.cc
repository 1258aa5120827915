// Tests of what the typed calls of one host tell the others.
#include "jacinthdeck/typed/typed_call_runner.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jacinthdeck/core/manual_clock.h"
#include "jacinthdeck/typed/typed_request.h"

namespace jacinthdeck {

/*! \brief A host: its typed calls, and what it sends. */
struct TypedHost final : TypedPort {
  static constexpr const char* kSchema = R"(namespace shop;
table ReadRequest { ticket:string; }
table Reply { count:int; }
rpc_service Counter {
  Read(ReadRequest):Reply (fan_out: "key", key: "ticket", merge: "lookup");
}
)";
  static constexpr const char* kIndex = R"({"versions":[{"version":7,"shards":
      [{"id":0,"range":[0,4294967296],"replicas":["a","b","c"]}]}]})";

  TypedCallRunner calls{1, *this};
  std::vector<SendAttempt> sent;
  std::vector<Answer> answers;
  std::vector<Fingerprint> suspects;
  std::vector<Fingerprint> quarantines;
  std::uint64_t next_call = 1;

  explicit TypedHost(TimePoint now) {
    const auto prepared = Capture([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(calls.SetSchema(kSchema));
      BOOST_LEAF_CHECK(calls.SetIndex(ServiceId("Counter"), kIndex));
      return true;
    });
    BOOST_REQUIRE(std::holds_alternative<bool>(prepared));
    std::vector<TargetInfo> targets;
    for (const std::string id : {"a", "b", "c"}) {
      TargetInfo target;
      target.id = TargetId(id);
      target.service = ServiceId("Counter");
      target.connections = 10;
      targets.push_back(target);
    }
    calls.SetTargets(targets, now);
  }

  void SendTyped(const SendAttempt& attempt,
                 const TargetInfo& /*target*/,
                 std::uint32_t /*connection_limit*/) override {
    sent.push_back(attempt);
  }
  void CancelTyped(AttemptId /*attempt*/) override {}
  void DeliverTyped(CallId /*call*/, Answer answer) override {
    answers.push_back(std::move(answer));
  }
  void ShareTypedSuspect(Fingerprint fingerprint) override {
    suspects.push_back(fingerprint);
  }
  void ShareTypedQuarantine(Fingerprint fingerprint) override {
    quarantines.push_back(fingerprint);
  }

  void Submit(TimePoint now) {
    const std::string body = R"({"ticket":"T1"})";
    auto checked = Capture([&] {
      return CheckTypedRequest(calls.schema(),
                               {"Counter", "Read", "", "", body}, now);
    });
    BOOST_REQUIRE(std::holds_alternative<Call>(checked));
    Call call = std::get<Call>(std::move(checked));
    call.id = CallId(next_call++);
    calls.Submit(std::move(call), now);
  }

  //! Loses the connections of all attempts that are in flight.
  void LoseAttempts(TimePoint now) {
    const std::vector<SendAttempt> lost = std::exchange(sent, {});
    for (const SendAttempt& attempt : lost) {
      AttemptReply reply;
      reply.attempt = attempt.attempt;
      reply.status = AttemptStatus::kLost;
      calls.OnReply(reply, now);
    }
  }
};

struct TypedCallRunnerFixture {
  ManualClock clock;
  TypedHost host{clock.Now()};
  TypedHost other{clock.Now()};
};

BOOST_FIXTURE_TEST_SUITE(TypedCallRunnerTest, TypedCallRunnerFixture)

// Guards against a request that crashes the targets of each host in turn, since
// no host tells the others of it.
BOOST_AUTO_TEST_CASE(Request_CrashesTargets_OtherHostRefusesIt) {
  host.Submit(clock.Now());
  host.LoseAttempts(clock.Now());
  BOOST_REQUIRE_EQUAL(host.suspects.size(), 1U);
  BOOST_TEST(host.quarantines.empty());
  host.LoseAttempts(clock.Now());
  BOOST_REQUIRE_EQUAL(host.quarantines.size(), 1U);
  other.calls.AddPeerQuarantine(host.quarantines.front(), clock.Now());
  other.Submit(clock.Now());
  BOOST_TEST(other.sent.empty());
  BOOST_REQUIRE_EQUAL(other.answers.size(), 1U);
  BOOST_TEST((other.answers.front().reason == AnswerReason::kQuarantined));
}

BOOST_AUTO_TEST_CASE(Request_CrashedTargetOfOtherHost_OneMoreQuarantinesIt) {
  host.Submit(clock.Now());
  host.LoseAttempts(clock.Now());
  BOOST_REQUIRE_EQUAL(host.suspects.size(), 1U);
  other.calls.AddPeerSuspect(host.suspects.front(), clock.Now());
  other.Submit(clock.Now());
  BOOST_REQUIRE_EQUAL(other.sent.size(), 1U);
  other.LoseAttempts(clock.Now());
  BOOST_TEST(other.quarantines.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
