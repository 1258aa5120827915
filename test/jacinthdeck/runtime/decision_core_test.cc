// Tests of the joined decisions of one node, over fake ports and a paused
// clock.
#include "jacinthdeck/runtime/decision_core.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jacinthdeck/cluster/config_codec.h"
#include "jacinthdeck/core/manual_clock.h"
#include "jacinthdeck/runtime/answer_json.h"

namespace jacinthdeck {

//! Keeps what the core sends; refuses where a test says so.
class FakePorts final : public DecisionPorts {
 public:
  [[nodiscard]] bool ToTarget(TargetCommand command) override {
    if (target_queue_full) {
      return false;
    }
    if (const auto* send = std::get_if<TargetSend>(&command)) {
      sends.push_back(*send);
    }
    return true;
  }
  void ToPeer(const PeerSend& send) override { peers.push_back(send); }
  [[nodiscard]] bool ToStore(const StoreRequest& request) override {
    store.push_back(request);
    return true;
  }
  void Publish(std::shared_ptr<const Schema> schema) override {
    published = std::move(schema);
  }

  bool target_queue_full = false;
  std::vector<TargetSend> sends;
  std::vector<PeerSend> peers;
  std::vector<StoreRequest> store;
  std::shared_ptr<const Schema> published;
};

struct DecisionCoreFixture {
  static constexpr const char* kSchema = R"(table Find { text:string; }
table Claim { ticket:string; }
table Reply { n:int; }
rpc_service Desk {
  Search(Find):Reply (fan_out: "all", merge: "top_k", deadline_ms: 2000);
  Take(Claim):Reply (fan_out: "key", key: "ticket", merge: "lookup", repeat: "once", deadline_ms: 2000);
}
)";

  DecisionCoreFixture() : core(Options(), clock, ports) {}

  static DecisionOptions Options() {
    DecisionOptions options;
    options.self.node = NodeId("akl-1");
    options.self.incarnation = Incarnation(5);
    options.self.address = MemberAddress{"127.0.0.1", 1, 2};
    return options;
  }

  //! Answers every waiting store call as a store that holds the schema.
  void AnswerStore(const std::string& schema = kSchema,
                   std::uint64_t revision = 1) {
    const std::vector<StoreRequest> requests = std::exchange(ports.store, {});
    for (const StoreRequest& request : requests) {
      StoreReply reply;
      reply.id = request.id;
      if (request.operation == StoreOperation::kRead &&
          request.key == kConfigKey) {
        ConfigValue value;
        value.revision = Revision(revision);
        value.content_revision = Revision(revision);
        value.content.schema = schema;
        value.voters = {NodeId("akl-1"), NodeId("akl-2"), NodeId("akl-3")};
        reply.status = StoreStatus::kOk;
        reply.revision = StoreRevision(revision);
        reply.items.push_back(
            StoreItem{request.key, EncodeConfig(value), reply.revision});
      } else {
        reply.status = request.operation == StoreOperation::kList
                           ? StoreStatus::kOk
                           : StoreStatus::kConflict;
      }
      core.OnEvent(reply);
    }
  }

  //! Lets time pass as the decision loop does, with or without a store.
  void Run(Duration time, bool store_answers = true) {
    const TimePoint end = clock.Now() + time;
    while (clock.Now() < end) {
      clock.Advance(std::chrono::milliseconds(50));
      core.OnTimer();
      if (store_answers) {
        AnswerStore();
      }
    }
  }

  void Serve() {
    core.OnTimer();
    Run(std::chrono::milliseconds(500));
    TargetInfo target;
    target.id = TargetId("t");
    target.service = ServiceId("Desk");
    target.slots = 4;
    target.connections = 30;
    target.address = "127.0.0.1";
    target.port = 4000;
    core.OnEvent(HostsRead{{target}});
    const Shard shard{ShardId(0), KeyRange{0, kKeySpaceEnd}, {TargetId("t")}};
    core.OnEvent(VersionsRead{ServiceId("Desk"),
                              {PartitionMap{IndexVersion(7), {shard}}}});
    BOOST_REQUIRE(ports.published != nullptr);
  }

  SubmittedCall MakeCall(
      const char* method,
      const std::string& body,
      const std::optional<RequestId>& request = std::nullopt) {
    SubmittedCall call;
    call.schema = ports.published;
    call.call.method = ports.published->Find("Desk", method);
    call.call.tenant = TenantId("t");
    auto checked = Capture(
        [&] { return ports.published->Check(*call.call.method, body); });
    call.call.body =
        std::make_shared<const std::string>(std::get<0>(checked).body);
    call.call.key = std::get<0>(checked).key;
    call.call.deadline = clock.Now() + std::chrono::seconds(2);
    call.request = request;
    call.sink = [this](CallResult result) {
      results.push_back(std::move(result));
    };
    return call;
  }

  RequestId NewId(const std::string& nonce) {
    return *RequestId::Parse(core.cluster().once().MakeToken(clock.Now()) +
                             "-" + nonce);
  }

  void AnswerTarget(std::size_t send,
                    AttemptStatus status = AttemptStatus::kAnswered) {
    const SendAttempt& attempt = ports.sends.at(send).attempt;
    AttemptReply reply;
    reply.attempt = attempt.attempt;
    reply.status = status;
    reply.version = attempt.version;
    reply.range = attempt.range;
    reply.hits.push_back(Hit{"h", 1.0, "{}"});
    core.OnEvent(std::move(reply));
  }

  const Answer& AnswerAt(std::size_t index) const {
    return std::get<Answer>(results.at(index));
  }

  ManualClock clock;
  FakePorts ports;
  std::vector<CallResult> results;
  DecisionCore core;
};

BOOST_FIXTURE_TEST_SUITE(DecisionCoreTest, DecisionCoreFixture)

BOOST_AUTO_TEST_CASE(Core_ConfigAndTargetsKnown_AnswersWhole) {
  Serve();
  core.OnEvent(MakeCall("Search", R"({"text":"a"})"));
  BOOST_REQUIRE(ports.sends.size() == 1U);
  AnswerTarget(0);
  BOOST_REQUIRE(results.size() == 1U);
  BOOST_TEST((AnswerAt(0).outcome == Outcome::kWhole));
  BOOST_TEST((AnswerAt(0).version == IndexVersion(7)));
}

// The process is stopped for longer than the serving lease while a call is at
// its target. The reply waits in the socket; a new revision is accepted
// meanwhile without this node. Were the reply given out on waking, the caller
// would get an answer by a revision that operators were told is gone.
BOOST_AUTO_TEST_CASE(Core_PausedBeyondLeaseWithReplyWaiting_SaysUnknown) {
  Serve();
  core.OnEvent(MakeCall("Search", R"({"text":"a"})"));
  clock.Advance(std::chrono::seconds(4));
  AnswerTarget(0);
  BOOST_REQUIRE(results.size() == 1U);
  BOOST_TEST((AnswerAt(0).outcome == Outcome::kUnknown));
  BOOST_TEST(AnswerAt(0).hits.empty());
}

// Store and peers are away for longer than the lease. New calls must be refused
// at once, truthfully and with a time to come back, and reach no target.
BOOST_AUTO_TEST_CASE(Core_LeaseLapsed_RefusesWithoutSending) {
  Serve();
  const SubmittedCall call = MakeCall("Search", R"({"text":"a"})");
  Run(std::chrono::seconds(5), false);
  core.OnEvent(call);
  BOOST_REQUIRE(results.size() == 1U);
  BOOST_TEST((AnswerAt(0).outcome == Outcome::kNotRun));
  BOOST_TEST((AnswerAt(0).reason == AnswerReason::kNotReady));
  BOOST_TEST(AnswerAt(0).retry_after.has_value());
  BOOST_TEST(ports.sends.empty());
}

// The transport's queue is full: nothing can be sent. The caller must hear "not
// run" at once, not at its deadline.
BOOST_AUTO_TEST_CASE(Core_TransportFull_SaysNotRunBeforeTheDeadline) {
  Serve();
  ports.target_queue_full = true;
  core.OnEvent(MakeCall("Take", R"({"ticket":"T"})", NewId("a")));
  Run(std::chrono::milliseconds(500));
  BOOST_REQUIRE(results.size() == 1U);
  BOOST_TEST((AnswerAt(0).outcome == Outcome::kNotRun));
}

BOOST_AUTO_TEST_CASE(Core_Draining_RefusesNewAndFinishesOpenCalls) {
  Serve();
  core.OnEvent(MakeCall("Search", R"({"text":"a"})"));
  core.Drain();
  core.OnEvent(MakeCall("Search", R"({"text":"b"})"));
  BOOST_REQUIRE(results.size() == 1U);
  BOOST_TEST((AnswerAt(0).reason == AnswerReason::kDraining));
  BOOST_TEST((AnswerAt(0).outcome == Outcome::kNotRun));
  AnswerTarget(0);
  BOOST_REQUIRE(results.size() == 2U);
  BOOST_TEST((AnswerAt(1).outcome == Outcome::kWhole));
}

// The caller loses patience and sends its claim again, first while it runs and
// then after its end. It must see one claim and the same answer each time; the
// target must get one request.
BOOST_AUTO_TEST_CASE(OnceCall_Resent_RunsOnceAndGivesTheSameAnswer) {
  Serve();
  const RequestId id = NewId("a");
  core.OnEvent(MakeCall("Take", R"({"ticket":"T"})", id));
  core.OnEvent(MakeCall("Take", R"({"ticket":"T"})", id));
  AnswerTarget(0);
  core.OnEvent(MakeCall("Take", R"({"ticket":"T"})", id));
  BOOST_TEST(ports.sends.size() == 1U);
  BOOST_REQUIRE(results.size() == 3U);
  const std::string stored = std::get<EncodedAnswer>(results[2]).body;
  BOOST_TEST(stored == EncodeAnswer(id.ToString(), AnswerAt(0)).body);
  BOOST_TEST(stored == EncodeAnswer(id.ToString(), AnswerAt(1)).body);
}

// The target's connection dies after the claim was sent: it may have run. The
// caller hears "unknown", and so does every resend; the claim is not sent a
// second time.
BOOST_AUTO_TEST_CASE(OnceCall_LostAfterSending_StaysUnknownAndIsNotSentAgain) {
  Serve();
  const RequestId id = NewId("a");
  core.OnEvent(MakeCall("Take", R"({"ticket":"T"})", id));
  AnswerTarget(0, AttemptStatus::kLost);
  core.OnEvent(MakeCall("Take", R"({"ticket":"T"})", id));
  Run(std::chrono::seconds(1));
  BOOST_TEST(ports.sends.size() == 1U);
  BOOST_REQUIRE(results.size() == 2U);
  BOOST_TEST((AnswerAt(0).outcome == Outcome::kUnknown));
  BOOST_TEST(std::get<EncodedAnswer>(results[1]).status == 504);
}

// An id that names a former life of this node: that life may have run the
// request, and its memory is gone. Only "unknown" is true, and it must not run
// now.
BOOST_AUTO_TEST_CASE(OnceCall_OfAFormerLife_IsUnknownAndNotRun) {
  Serve();
  RequestId id = NewId("a");
  id.incarnation = Incarnation(4);
  core.OnEvent(MakeCall("Take", R"({"ticket":"T"})", id));
  BOOST_TEST(ports.sends.empty());
  BOOST_REQUIRE(results.size() == 1U);
  BOOST_TEST((AnswerAt(0).outcome == Outcome::kUnknown));
}

// A peer sends on a claim that is bound to this life. It runs here once; the
// peer gets the answer, and the same one when the message arrives twice.
BOOST_AUTO_TEST_CASE(OnceCall_ForwardedTwice_RunsOnceAndAnswersThePeer) {
  Serve();
  core.AddSeeds({PeerSeed{NodeId("akl-2"), Endpoint{"127.0.0.1", 5000}}});
  ForwardRequest forward;
  forward.sequence = 9;
  forward.id = NewId("a");
  forward.service = ServiceId("Desk");
  forward.method = "Take";
  forward.body = R"({"ticket":"T"})";
  forward.time_left = std::chrono::seconds(1);
  Envelope envelope;
  envelope.from = NodeId("akl-2");
  envelope.incarnation = Incarnation(1);
  envelope.to = NodeId("akl-1");
  envelope.message = forward;
  core.OnEvent(envelope);
  core.OnEvent(envelope);
  BOOST_REQUIRE(ports.sends.size() == 1U);
  AnswerTarget(0);
  BOOST_TEST(ports.sends.size() == 1U);
  std::vector<ForwardReply> replies;
  for (const PeerSend& send : ports.peers) {
    if (const auto* reply = std::get_if<ForwardReply>(&send.envelope.message)) {
      replies.push_back(*reply);
    }
  }
  BOOST_REQUIRE(replies.size() == 2U);
  BOOST_TEST((replies[0] == replies[1]));
  BOOST_TEST(replies[0].status == 200);
  BOOST_TEST(replies[0].sequence == 9U);
}

// A request was convicted at another entry. It must be refused here as well,
// until an operator's word, which any entry takes, ends the quarantine at all
// of them.
BOOST_AUTO_TEST_CASE(Quarantine_ToldByAPeer_RefusesUntilAPeerTellsItsEnd) {
  Serve();
  const Fingerprint bad =
      MakeCall("Search", R"({"text":"a"})").call.fingerprint;
  Envelope envelope;
  envelope.from = NodeId("akl-2");
  envelope.incarnation = Incarnation(1);
  envelope.to = NodeId("akl-1");
  envelope.message = QuarantineNotice{{}, {}, {bad}};
  core.OnEvent(envelope);
  core.OnEvent(MakeCall("Search", R"({"text":"a"})"));
  BOOST_REQUIRE(results.size() == 1U);
  BOOST_TEST((AnswerAt(0).reason == AnswerReason::kQuarantined));
  BOOST_TEST((AnswerAt(0).outcome == Outcome::kNotRun));
  BOOST_TEST(ports.sends.empty());
  envelope.message = QuarantineNotice{{}, {bad}, {}};
  core.OnEvent(envelope);
  core.OnEvent(MakeCall("Search", R"({"text":"a"})"));
  BOOST_TEST(ports.sends.size() == 1U);
}

// A revision that drops a call comes into force after the edge checked a
// request and before the decision thread took it. The request must not run by
// the former schema.
BOOST_AUTO_TEST_CASE(Core_SchemaReplacedInBetween_ChecksTheRequestAgain) {
  Serve();
  SubmittedCall call = MakeCall("Search", R"({"text":"a"})");
  ports.store.clear();
  for (int i = 0; i < 60 && core.schema() == call.schema; ++i) {
    clock.Advance(std::chrono::milliseconds(50));
    core.OnTimer();
    AnswerStore("table A { x:int; }\nrpc_service Desk { Other(A):A; }\n", 2);
  }
  BOOST_REQUIRE((core.schema() != call.schema));
  core.OnEvent(std::move(call));
  BOOST_REQUIRE(results.size() == 1U);
  BOOST_TEST(std::get<EncodedAnswer>(results[0]).status == 400);
  BOOST_TEST(ports.sends.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
