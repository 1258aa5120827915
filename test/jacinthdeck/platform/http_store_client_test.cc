// Tests of the store client against the stand-in store and against broken
// replies.
#include "jacinthdeck/platform/http_store_client.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>

#include "canned_server.h"
#include "jacinthdeck/core/json.h"
#include "jacinthdeck/core/manual_clock.h"
#include "jacinthdeck/platform/store_call_runner.h"
#include "store/store_server.h"

namespace jacinthdeck {

namespace {

constexpr Duration kTimeout = std::chrono::seconds(5);

template <typename Operation>
[[nodiscard]] ErrorCode CodeOf(Operation&& operation) {
  const auto captured = Capture(operation);
  const auto* error = std::get_if<Error>(&captured);
  BOOST_REQUIRE(error != nullptr);
  return error->code;
}

template <typename Operation>
[[nodiscard]] auto ValueOf(Operation&& operation) {
  auto captured = Capture(operation);
  if (const auto* error = std::get_if<Error>(&captured)) {
    BOOST_FAIL(error->subject + ": " + error->message);
  }
  return std::get<0>(std::move(captured));
}

}  // namespace

struct StoreFixture {
  ManualClock clock;
  standins::StoreServer server{0, clock, {}, 1};
  HttpStoreClient client{HttpEndpoint{"127.0.0.1", server.port()}, kTimeout};

  [[nodiscard]] Result<StoreWrite> Put(const std::string& value,
                                       std::uint64_t previous) {
    return client.Put({.key = "config",
                       .value = value,
                       .previous = StoreRevision(previous),
                       .lease = std::nullopt});
  }
};

BOOST_FIXTURE_TEST_SUITE(HttpStoreClientTest, StoreFixture)

BOOST_AUTO_TEST_CASE(Put_FreshKey_IsReadBack) {
  const auto write = ValueOf([&] { return Put("a \"b\"\n", 0); });
  BOOST_TEST(write.applied);
  const auto item = ValueOf([&] { return client.Get("config"); });
  BOOST_REQUIRE(item.has_value());
  BOOST_TEST(item->value == "a \"b\"\n");
  BOOST_TEST((item->revision == write.revision));
}

BOOST_AUTO_TEST_CASE(Get_AbsentKey_IsNothing) {
  BOOST_TEST(!ValueOf([&] { return client.Get("config"); }).has_value());
}

BOOST_AUTO_TEST_CASE(Put_StaleRevision_IsNotAppliedAndNamesTheRevision) {
  const auto first = ValueOf([&] { return Put("a", 0); });
  const auto second = ValueOf([&] { return Put("b", 0); });
  BOOST_TEST(!second.applied);
  BOOST_TEST((second.revision == first.revision));
}

BOOST_AUTO_TEST_CASE(List_Prefix_FindsKeysWithSlashes) {
  server.content().Put("index/A", "1", {}, {});
  server.content().Put("index/B", "2", {}, {});
  server.content().Put("other", "3", {}, {});
  const auto items = ValueOf([&] { return client.List("index/"); });
  BOOST_REQUIRE(items.size() == 2U);
  BOOST_TEST(items[1].key == "index/B");
}

BOOST_AUTO_TEST_CASE(Delete_CurrentRevision_RemovesTheKey) {
  const auto write = ValueOf([&] { return Put("a", 0); });
  BOOST_TEST(
      ValueOf([&] { return client.Delete("config", write.revision); }).applied);
  BOOST_TEST(!server.content().Get("config").has_value());
}

// The caller sees "outcome unknown". The store applies the write and its reply
// is lost on the way. Reported as a failure, an operator would be told that a
// change was refused while it is in force, and a retry would conflict with
// itself.
BOOST_AUTO_TEST_CASE(Put_ReplyLostAfterTheWrite_OutcomeIsUnknown) {
  server.SetFaults({.lose_replies = 1});
  BOOST_TEST(
      (CodeOf([&] { return Put("a", 0); }) == ErrorCode::kOutcomeUnknown));
  BOOST_TEST(server.content().Get("config")->value == "a");
  BOOST_TEST(server.counts().puts == 1U);
}

// The caller sees "outcome unknown" for whatever reply it cannot read: the
// write may be in force behind each of them.
BOOST_AUTO_TEST_CASE(Put_UnreadableReply_OutcomeIsUnknown) {
  for (const auto& [status, body] :
       std::initializer_list<std::pair<unsigned int, std::string>>{
           {200, "no json"},
           {200, "{}"},
           {200, R"({"revision":"7"})"},
           {200, R"({"revision":-7})"},
           {500, "{}"},
           {302, "{}"},
           {0, ""}}) {
    const CannedServer canned(status, body);
    HttpStoreClient other(canned.endpoint(), kTimeout);
    BOOST_TEST_CONTEXT(status << " " << body) {
      const StorePut put{"k", "v", kNoRevision, std::nullopt};
      BOOST_TEST((CodeOf([&] { return other.Put(put); }) ==
                  ErrorCode::kOutcomeUnknown));
      BOOST_TEST((CodeOf([&] { return other.GrantLease(kTimeout); }) ==
                  ErrorCode::kOutcomeUnknown));
    }
  }
}

BOOST_AUTO_TEST_CASE(Get_BrokenReply_IsCorrupt) {
  for (const std::string body :
       {"no json", "[]", "{}", R"({"key":"k","value":1,"revision":1})",
        R"({"key":"k","value":"v"})", R"({"key":"k","value":"v","revision":0})",
        R"({"key":"k","value":"v","revision":1,"revision":2})"}) {
    const CannedServer canned(200, body);
    HttpStoreClient other(canned.endpoint(), kTimeout);
    BOOST_TEST_CONTEXT(body) {
      BOOST_TEST(
          (CodeOf([&] { return other.Get("k"); }) == ErrorCode::kCorrupt));
    }
  }
}

BOOST_AUTO_TEST_CASE(Get_ReplyAboveTheBound_IsTooLarge) {
  const CannedServer canned(200, std::string(kMaxJsonBytes + 1, 'x'));
  HttpStoreClient other(canned.endpoint(), kTimeout);
  BOOST_TEST((CodeOf([&] { return other.Get("k"); }) == ErrorCode::kTooLarge));
}

BOOST_AUTO_TEST_CASE(AnyCall_Outage_IsUnavailableAndNothingIsDone) {
  server.SetFaults({.outage = standins::Outage::kRefuse});
  BOOST_TEST((CodeOf([&] { return Put("a", 0); }) == ErrorCode::kUnavailable));
  BOOST_TEST((CodeOf([&] { return client.Get("config"); }) ==
              ErrorCode::kUnavailable));
  BOOST_TEST(!server.content().Get("config").has_value());
}

BOOST_AUTO_TEST_CASE(Put_AboveTheRate_IsRateLimitedAndNothingIsDone) {
  standins::StoreServer slow(0, clock, {.reads = 1, .writes = 1}, 1);
  HttpStoreClient other({"127.0.0.1", slow.port()}, kTimeout);
  const StorePut put{"k", "v", kNoRevision, std::nullopt};
  BOOST_TEST(ValueOf([&] { return other.Put(put); }).applied);
  const StorePut again{"l", "v", kNoRevision, std::nullopt};
  BOOST_TEST(
      (CodeOf([&] { return other.Put(again); }) == ErrorCode::kRateLimited));
  BOOST_TEST(!slow.content().Get("l").has_value());
}

BOOST_AUTO_TEST_CASE(Put_ValueAboveTheBound_IsRefusedWithoutACall) {
  BOOST_TEST((CodeOf([&] {
                return Put(std::string(kMaxStoreValueBytes + 1, 'x'), 0);
              }) == ErrorCode::kTooLarge));
  BOOST_TEST(server.counts().puts == 0U);
}

BOOST_AUTO_TEST_CASE(Watch_ChangedKey_GivesTheNewValueAtOnce) {
  server.content().Put("config", "a", {}, {});
  const auto item =
      ValueOf([&] { return client.Watch("config", kNoRevision, kTimeout); });
  BOOST_REQUIRE(item.has_value());
  BOOST_TEST(item->value == "a");
}

BOOST_AUTO_TEST_CASE(Watch_NoChangeInTime_IsNothing) {
  server.content().Put("config", "a", {}, {});
  const auto item = ValueOf([&] {
    return client.Watch("config", StoreRevision(1), Duration::zero());
  });
  BOOST_TEST(!item.has_value());
}

BOOST_AUTO_TEST_CASE(Watch_KeyIsGone_IsNotFound) {
  BOOST_TEST((CodeOf([&] {
                return client.Watch("config", StoreRevision(4), kTimeout);
              }) == ErrorCode::kNotFound));
}

// The caller sees its key disappear and its renewal refused. The lease lapses
// while its holder does not renew it; a holder that was paused must not go on
// as if it still held it.
BOOST_AUTO_TEST_CASE(RenewLease_AfterItLapsed_IsNotFoundAndTheKeyIsGone) {
  const auto lease =
      ValueOf([&] { return client.GrantLease(std::chrono::seconds(5)); });
  const StorePut put{"members/a", "m", kNoRevision, lease};
  BOOST_TEST(ValueOf([&] { return client.Put(put); }).applied);
  clock.Advance(std::chrono::seconds(4));
  BOOST_TEST((ValueOf([&] { return client.RenewLease(lease); }) == lease));
  clock.Advance(std::chrono::seconds(6));
  BOOST_TEST((CodeOf([&] { return client.RenewLease(lease); }) ==
              ErrorCode::kNotFound));
  BOOST_TEST(!ValueOf([&] { return client.Get("members/a"); }).has_value());
}

BOOST_AUTO_TEST_CASE(RunStoreCall_EachEnd_HasItsStatus) {
  StoreRequest write{.id = StoreCallId(4),
                     .operation = StoreOperation::kCompareAndSwap,
                     .key = "config",
                     .value = "a",
                     .expected = kNoRevision,
                     .timeout = kTimeout};
  BOOST_TEST((RunStoreCall(client, write).status == StoreStatus::kOk));
  BOOST_TEST((RunStoreCall(client, write).status == StoreStatus::kConflict));
  server.SetFaults({.outage = standins::Outage::kRefuse});
  BOOST_TEST((RunStoreCall(client, write).status == StoreStatus::kRefused));
  server.SetFaults({.outage = standins::Outage::kDrop});
  const StoreReply open = RunStoreCall(client, write);
  BOOST_TEST((open.status == StoreStatus::kNoReply));
  BOOST_TEST((open.id == write.id));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
