// Tests of the adapter's codecs for the platform's formats.
#include <boost/algorithm/string/replace.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "jacinthdeck/core/json.h"
#include "jacinthdeck/core/random.h"
#include "platform/base64.h"
#include "platform/config_codec.h"
#include "platform/directory_codec.h"
#include "platform/store_codec.h"
#include "platform/target_protocol.h"
#include "support/printers.h"

namespace jacinthdeck::platform {

namespace {

[[nodiscard]] std::shared_ptr<const RoutingConfig> ReadOk(
    const std::string& text) {
  const auto read = Capture([&] { return ReadConfig(text); });
  BOOST_REQUIRE_EQUAL(read.index(), 0U);
  return std::get<0>(read);
}

constexpr const char* kConfig = R"({"version":7,"future":{},"routes":[
  {"name":"r1","host":"h","prefix":"/a/","routeType":"idempotent",
   "timeoutMs":600,"targetLatencyMs":60,"priority":2,"fanout":["s1","s2"],
   "maxAttempts":2,"topK":5,"minPartShare":0.75},
  {"name":"r2","host":"h","prefix":"/b/","routeType":"non_idempotent",
   "trafficSplit":[{"service":"s1","weight":3},{"service":"s2","weight":0}]},
  {"name":"r3","host":"h","prefix":"/c/","routeType":"anything",
   "service":"s2"}],
 "services":[{"name":"s1","maxConnections":30,"coldPerS":12.5},
             {"name":"s2","coldPerS":0.0}],
 "limits":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeoutMs":300,
           "idleTimeoutMs":400}})";

}  // namespace

BOOST_AUTO_TEST_SUITE(PlatformCodecsTest)

BOOST_AUTO_TEST_CASE(Config_AllForms_AreRead) {
  const auto config = ReadOk(kConfig);
  BOOST_TEST(config->version() == 7U);
  const Route* fan_out = config->Find("h", "/a/x");
  BOOST_REQUIRE(fan_out != nullptr);
  BOOST_TEST(fan_out->shards.size() == 2U);
  BOOST_TEST(fan_out->top_records == 5U);
  BOOST_TEST(fan_out->min_share == 0.75);
  BOOST_TEST((fan_out->objective == std::chrono::milliseconds(60)));
  BOOST_TEST((fan_out->repeat == RepeatRule::kIdempotent));
  const Route* split = config->Find("h", "/b/x");
  BOOST_REQUIRE(split != nullptr);
  BOOST_TEST(split->services.size() == 1U);
  BOOST_TEST((split->repeat == RepeatRule::kAtMostOnce));
  // A request of an unknown route type must not be repeated.
  BOOST_TEST((config->Find("h", "/c/x")->repeat == RepeatRule::kAtMostOnce));
  BOOST_TEST(config->TargetConnections(ServiceId("s1")) == 30U);
  BOOST_TEST(config->ColdRate(ServiceId("s1")) == 12.5);
  BOOST_TEST(config->ColdRate(ServiceId("s2")) == 0);
  BOOST_TEST(config->limits().body_bytes == 200U);
}

// Guards against an invalid limit that is taken for "no limit".
BOOST_AUTO_TEST_CASE(Config_InvalidColdRate_ErrorNamesTheField) {
  for (const std::string bound : {"-1", "\"many\"", "null"}) {
    const auto read = Capture([&] {
      return ReadConfig(
          R"({"version":1,"routes":[],"services":[{"name":"s","coldPerS":)" +
          bound + "}]}");
    });
    BOOST_REQUIRE_EQUAL(read.index(), 1U);
    BOOST_TEST(std::get<Error>(read).subject == "config.services[0].coldPerS");
  }
}

BOOST_AUTO_TEST_CASE(Config_InvalidField_ErrorNamesTheField) {
  const auto read = Capture([] {
    return ReadConfig(
        R"({"version":1,"services":[],"routes":[{"name":"r","host":"h",)"
        R"("prefix":"/","routeType":"idempotent","service":"s",)"
        R"("timeoutMs":"soon"}]})");
  });
  BOOST_REQUIRE_EQUAL(read.index(), 1U);
  BOOST_TEST(std::get<Error>(read).subject == "config.routes[0].timeoutMs");
}

// Guards against a configuration or an entry that is not used because the
// platform writes a number in another form: JSON has one type of number, and a
// duration may be a fraction.
BOOST_AUTO_TEST_CASE(Numbers_AnySpelling_AreRead) {
  // Each # stands for the number.
  const std::string config_text =
      R"({"version":#,"routes":[{"name":"r","host":"h","prefix":"/a/",)"
      R"("routeType":"idempotent","service":"s","maxAttempts":#,)"
      R"("priority":#,"timeoutMs":#,"targetLatencyMs":3.5}],)"
      R"("services":[{"name":"s","maxConnections":#}],)"
      R"("limits":{"maxHeaderBytes":#,"maxBodyBytes":#,)"
      R"("headerTimeoutMs":#,"idleTimeoutMs":2500.25}})";
  const std::string target_text =
      R"({"service":"s","zone":"z","state":"ready","seq":#,)"
      R"("address":"10.0.0.1:80","slots":#,"born":#,"coldRemainingMs":1500.5})";
  for (const std::string spelling : {"3", "3.0", "3e0", "0.3e1", "30E-1"}) {
    const auto config =
        ReadOk(boost::replace_all_copy(config_text, "#", spelling));
    BOOST_TEST(config->version() == 3U, spelling);
    const Route* route = config->Find("h", "/a/");
    BOOST_REQUIRE(route != nullptr);
    BOOST_TEST(route->max_attempts == 3U, spelling);
    BOOST_TEST(route->priority == 3U, spelling);
    BOOST_TEST((route->timeout == std::chrono::milliseconds(3)), spelling);
    BOOST_TEST((route->objective == std::chrono::microseconds(3500)));
    BOOST_TEST((config->limits().idle_timeout ==
                std::chrono::microseconds(2'500'250)));
    const StoreCodec codec;
    const auto target = Capture([&] {
      return codec.ReadTarget(
          "t", boost::replace_all_copy(target_text, "#", spelling));
    });
    BOOST_REQUIRE_EQUAL(target.index(), 0U);
    const ParsedTarget& parsed = std::get<ParsedTarget>(target);
    BOOST_TEST(parsed.entry.slots == 3U, spelling);
    BOOST_TEST(parsed.entry.started_ms == 3U, spelling);
    BOOST_TEST((parsed.cold_for == std::chrono::microseconds(1'500'500)));
    BOOST_TEST(!parsed.problem.has_value(), spelling);
  }
}

BOOST_AUTO_TEST_CASE(Numbers_NotWholeOrOutOfRange_AreRejected) {
  for (const char* version : {"3.5", "-1", "-1.0", "1e19", "1e300",
                              "9007199254740993.0", "true", "\"3\""}) {
    const auto read = Capture([&] {
      return ReadConfig(R"({"routes":[],"services":[],"version":)" +
                        std::string(version) + "}");
    });
    BOOST_TEST(read.index() == 1U, version);
  }
  for (const char* timeout : {"-0.5", "86400000.5", "1e300", "true"}) {
    const auto read = Capture([&] {
      return ReadConfig(R"({"routes":[],"services":[],"version":3,)"
                        R"("limits":{"idleTimeoutMs":)" +
                        std::string(timeout) + "}}");
    });
    BOOST_REQUIRE_EQUAL(read.index(), 1U);
    BOOST_TEST(std::get<Error>(read).subject == "config.limits.idleTimeoutMs");
  }
}

// Guards against a host that ends at each request of a route without a service.
BOOST_AUTO_TEST_CASE(Config_RouteHasNoService_IsRejected) {
  for (const char* services :
       {R"("fanout":[])", R"("trafficSplit":[])",
        R"("trafficSplit":[{"service":"s","weight":0}])"}) {
    const auto read = Capture([&] {
      return ReadConfig(
          std::string(R"({"version":1,"services":[],"routes":[{"name":"r",)"
                      R"("host":"h","prefix":"/","routeType":"idempotent",)") +
          services + "}]}");
    });
    BOOST_TEST_CONTEXT(services) {
      BOOST_REQUIRE_EQUAL(read.index(), 1U);
      BOOST_TEST(std::get<Error>(read).subject == "config.routes[0]");
    }
  }
}

BOOST_AUTO_TEST_CASE(Base64_AllLengths_RoundTrip) {
  std::string bytes;
  for (int i = 0; i < 40; ++i) {
    const auto decoded =
        Capture([&] { return DecodeBase64(EncodeBase64(bytes)); });
    BOOST_REQUIRE_EQUAL(decoded.index(), 0U);
    BOOST_TEST(std::get<0>(decoded) == bytes);
    bytes += static_cast<char>(i * 37);
  }
}

BOOST_AUTO_TEST_CASE(Base64_InvalidOrUnpadded_IsRejected) {
  for (const char* text : {"a", "ab", "a===", "ab*=", "====", "ab=c"}) {
    BOOST_TEST(Capture([&] { return DecodeBase64(text); }).index() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(Load_ThreeOrFourFields_AreParsed) {
  const auto read = MakeTargetProtocol().read_load;
  BOOST_REQUIRE(read("3,2,8").has_value());
  BOOST_TEST(read("3,2,8")->waiting == 2U);
  BOOST_TEST(read("3,2,8")->slowdown == 1.0);
  BOOST_TEST(read("3, 2, 8, 250")->slowdown == 2.5);
  BOOST_TEST(!read("3,2").has_value());
  BOOST_TEST(!read("a,b,c").has_value());
  BOOST_TEST(!read("1,1,0").has_value());
}

BOOST_AUTO_TEST_CASE(Watch_ItemsAndRemovals_AreDistinguished) {
  const StoreCodec codec;
  const WatchBatch batch = codec.ReadWatchReply(
      {200,
       R"({"events":[{"key":"a","value":"eA==","revision":4,"created":4,)"
       R"("leaseId":0},{"key":"b","revision":5,"deleted":true}],"readRev":5})",
       "", false},
      StoreEra{});
  BOOST_REQUIRE((batch.status == StoreStatus::kOk));
  BOOST_REQUIRE_EQUAL(batch.changes.size(), 2U);
  BOOST_TEST(batch.changes[0].value.value() == "x");
  BOOST_TEST(!batch.changes[1].value.has_value());
  BOOST_TEST(batch.position.revision == 5U);
}

BOOST_AUTO_TEST_CASE(StoreStatus_HttpStatus_IsMapped) {
  const StoreCodec codec;
  const auto status = [&](int code) {
    return codec.ReadWatchReply({code, "", "", false}, StoreEra{}).status;
  };
  BOOST_TEST((status(0) == StoreStatus::kNoReply));
  BOOST_TEST((status(410) == StoreStatus::kCompacted));
  BOOST_TEST((status(429) == StoreStatus::kBusy));
  BOOST_TEST((status(503) == StoreStatus::kBusy));
  BOOST_TEST((status(500) == StoreStatus::kCorrupt));
  BOOST_TEST((codec.ReadWatchReply({200, "{", "", false}, StoreEra{}).status ==
              StoreStatus::kCorrupt));
}

// Guards against a host that stops following the store for ever because of one
// item of another writer that its JSON library rejects.
BOOST_AUTO_TEST_CASE(Reply_OneItemIsUnreadable_OthersAreRead) {
  const StoreCodec codec;
  const std::string deep(100'000, '[');
  const std::vector<std::string> odd_items{
      R"({"key":"o","revision":5,"value":"*"})",
      R"({"key":"o","revision":5,"value":"eA="})",
      R"({"key":"o","revision":5,"value":7})",
      R"({"key":"o","revision":18446744073709551616,"value":"eA=="})",
      R"({"key":"o","revision":-1,"value":"eA=="})",
      R"({"key":"o","revision":5.5,"value":"eA=="})",
      R"({"key":"o","revision":1e999,"value":"eA=="})",
      R"({"key":"o","revision":"5","value":"eA=="})",
      R"({"key":"o","key":"o","revision":5,"value":"eA=="})",
      R"({"key":"\ud800","revision":5,"value":"eA=="})",
      "{\"key\":\"\xff\",\"revision\":5,\"value\":\"eA==\"}",
      R"({"revision":5,"value":"eA=="})",
      R"({"key":"o","revision":5,"more":)" + deep +
          std::string(deep.size(), ']') + "}",
      "null",
      "[]",
  };
  const std::string good = R"(","revision":4,"value":"eA=="})";
  for (const std::string& odd : odd_items) {
    BOOST_TEST_CONTEXT(odd.substr(0, 60)) {
      std::string items = R"([{"key":"],[a\"}{)";
      items += good;
      items += ", ";
      items += odd;
      items += R"(,{"key":"b)";
      items += good;
      items += "]";
      const StorePage page = codec.ReadPage(
          {200, R"({"hasMore":true,"items":)" + items + R"(,"readRev":5})", "",
           false},
          StoreEra{});
      BOOST_REQUIRE((page.status == StoreStatus::kOk));
      BOOST_REQUIRE_EQUAL(page.items.size(), 2U);
      BOOST_TEST(page.items[0].key == R"(],[a"}{)");
      BOOST_TEST(page.items[1].key == "b");
      BOOST_TEST(page.unreadable.size() == 1U);
      BOOST_TEST(page.has_more);
      const WatchBatch batch = codec.ReadWatchReply(
          {200, R"({"events":)" + items + R"(,"readRev":5})", "", false},
          StoreEra{});
      BOOST_REQUIRE((batch.status == StoreStatus::kOk));
      BOOST_TEST(batch.changes.size() == 2U);
      BOOST_TEST(batch.unreadable.size() == 1U);
    }
  }
}

// Guards against a damaged reply that is taken for an empty store, which would
// remove all entries.
BOOST_AUTO_TEST_CASE(Reply_EnvelopeIsDamaged_IsCorrupt) {
  const StoreCodec codec;
  for (const char* text :
       {"", "{", "[]", R"({"hasMore":false,"readRev":5})",
        R"({"items":{},"hasMore":false,"readRev":5})",
        R"({"x":{"items":[]},"hasMore":false,"readRev":5})",
        R"({"items":[],"items":[],"hasMore":false,"readRev":5})",
        R"({"items":[{"key":"a","hasMore":false,"readRev":5})",
        R"({"items":["a],"hasMore":false,"readRev":5})",
        R"({"items":[],"hasMore":false,"readRev":5}})",
        R"({"items":[],"hasMore":false,"readRev":18446744073709551616})"}) {
    BOOST_TEST_CONTEXT(text) {
      const StorePage page = codec.ReadPage({200, text, "", false}, StoreEra{});
      BOOST_TEST((page.status == StoreStatus::kCorrupt));
    }
  }
}

// Guards against a host that reads no further because a key holds NUL.
BOOST_AUTO_TEST_CASE(Reply_KeyHoldsNul_IsReadAsAWhole) {
  const StoreCodec codec;
  const StorePage page = codec.ReadPage(
      {200,
       R"({"items":[{"key":"a\u0000b","revision":4,"value":"eA=="}],)"
       R"("hasMore":false,"readRev":5})",
       "", false},
      StoreEra{});
  BOOST_REQUIRE_EQUAL(page.items.size(), 1U);
  BOOST_TEST((page.items[0].key == std::string("a\0b", 3)));
  BOOST_TEST(codec.RangeCall(page.items[0].key).target.ends_with("a%00b"));
}

BOOST_AUTO_TEST_CASE(Reply_IsTooLarge_StatusTellsSo) {
  const StoreCodec codec;
  const std::string large(kMaxJsonBytes + 1, ' ');
  BOOST_TEST(
      (codec.ReadWatchReply({200, large, "", false}, StoreEra{}).status ==
       StoreStatus::kTooLarge));
  ClientReply incomplete{0, "", "no reply: body limit exceeded", false};
  incomplete.body_incomplete = true;
  BOOST_TEST((codec.ReadWatchReply(incomplete, StoreEra{}).status ==
              StoreStatus::kTooLarge));
}

// Guards against an entry that is read as another one: a number of slots that
// wraps to 0, or an id that ends the header that carries it.
BOOST_AUTO_TEST_CASE(Target_OddEntry_IsRejected) {
  const StoreCodec codec;
  const auto entry = [](const std::string& address, const std::string& slots) {
    return R"({"service":"s","zone":"z","state":"ready","address":")" +
           address + R"(","slots":)" + slots + "}";
  };
  const auto is_read = [&](const std::string& id, const std::string& value) {
    return Capture([&] { return codec.ReadTarget(id, value); }).index() == 0U;
  };
  BOOST_TEST(is_read("t", entry("10.0.0.1:80", "1")));
  for (const char* address :
       {"10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:-1",
        "10.0.0.1:", "10.0.0.1:80x", "10.0.0.1:8e1",
        "10.0.0.1:99999999999999999999", "10.0.0.1", ""}) {
    BOOST_TEST_CONTEXT(address) {
      BOOST_TEST(!is_read("t", entry(address, "1")));
    }
  }
  const std::string deep(100'000, '[');
  for (const std::string& slots :
       {std::string("4294967296"), std::string("18446744073709551616"),
        std::string("-1"), std::string("1.5"), std::string("1e999"),
        std::string("\"8\""), std::string("null"),
        deep + std::string(deep.size(), ']'), deep,
        std::string("1,\"slots\":1")}) {
    BOOST_TEST_CONTEXT(slots.substr(0, 60)) {
      BOOST_TEST(!is_read("t", entry("10.0.0.1:80", slots)));
    }
  }
  for (const std::string& id :
       {std::string(), std::string("a\0b", 3), std::string("a\r\nX: y"),
        std::string("a b"), std::string("a\x7f")}) {
    BOOST_TEST(!is_read(id, entry("10.0.0.1:80", "1")));
  }
}

// Guards against a reply of a restored store that is taken for one of the
// history before the restore. Replies with an error status carry the era too.
BOOST_AUTO_TEST_CASE(Era_InReplyOfAnyStatus_IsRead) {
  const StoreCodec codec;
  const auto reply = [](int status, const std::string& era) {
    ClientReply made{status, R"({"events":[],"readRev":5})", "", false};
    made.headers.push_back({"store-era", era});
    return made;
  };
  const auto era = [&](int status, const std::string& text) {
    return codec.ReadWatchReply(reply(status, text), StoreEra(2)).position.era;
  };
  for (const int status : {200, 404, 410, 412, 429, 503}) {
    BOOST_TEST((era(status, "7") == StoreEra(7)));
  }
  for (const char* text : {"", "x", "7x", "-1", "0", "99999999999999999999"}) {
    const WatchBatch batch =
        codec.ReadWatchReply(reply(200, text), StoreEra(2));
    BOOST_TEST((batch.status == StoreStatus::kCorrupt));
    BOOST_TEST((batch.position.era == StoreEra(2)));
  }
  const ClientReply without_era{200, R"({"events":[],"readRev":5})", "", false};
  BOOST_TEST((codec.ReadWatchReply(without_era, StoreEra(2)).position ==
              StorePosition{StoreEra(2), 5}));
}

// Guards against a crash or an invented era if the header holds arbitrary
// bytes.
BOOST_AUTO_TEST_CASE(Era_RandomHeaderBytes_GiveNumberOrCurrentEra) {
  const StoreCodec codec;
  Random random(1);
  for (int round = 0; round < 20000; ++round) {
    std::string text(random.Below(24), ' ');
    for (char& byte : text) {
      byte = static_cast<char>(random.Below(2) == 0
                                   ? static_cast<std::uint64_t>('0') +
                                         random.Below(10)
                                   : random.Below(256));
    }
    ClientReply reply{200, R"({"events":[],"readRev":5})", "", false};
    reply.headers.push_back({"Store-Era", text});
    const WatchBatch batch = codec.ReadWatchReply(reply, StoreEra(2));
    const bool read = batch.status == StoreStatus::kOk;
    const bool digits = !text.empty() && text.find_first_not_of("0123456789") ==
                                             std::string::npos;
    BOOST_TEST((!read || digits));
    BOOST_TEST((read || batch.position.era == StoreEra(2)));
  }
}

BOOST_AUTO_TEST_CASE(Directory_RequestAndResponse_FollowPlatformFormat) {
  BOOST_TEST(ReadDirectoryCall("/-/resolve?name=x&region=r&zone=z-a").raw() ==
             "z-a");
  BOOST_TEST(ReadDirectoryCall("/-/resolve").raw().empty());
  const EdgeResponse answer =
      WriteDirectoryAnswer({"10.0.0.1:80"}, std::chrono::seconds(1));
  BOOST_TEST(answer.body == R"({"addrs":["10.0.0.1:80"],"ttl_s":1.0})");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::platform
