// Tests of the HTTP client's bounds.
#include "jacinthdeck/platform/http_client.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>

#include "canned_server.h"
#include "jacinthdeck/core/json.h"

namespace jacinthdeck {

struct HttpClientFixture {
  [[nodiscard]] static std::variant<HttpAnswer, Error> Call(
      const HttpEndpoint& endpoint) {
    const HttpClient client(endpoint);
    return Capture([&] {
      return client.Call({.path = "/", .timeout = std::chrono::seconds(5)});
    });
  }
};

BOOST_FIXTURE_TEST_SUITE(HttpClientTest, HttpClientFixture)

BOOST_AUTO_TEST_CASE(Call_AnyStatus_IsAnAnswer) {
  const CannedServer canned(418, "{}");
  const auto answer = Call(canned.endpoint());
  BOOST_REQUIRE(answer.index() == 0U);
  BOOST_TEST(std::get<0>(answer).status == 418);
  BOOST_TEST(std::get<0>(answer).body == "{}");
}

// The caller sees a typed error at once. A faulty server sends without end;
// read to its end, its reply would fill the memory of this process.
BOOST_AUTO_TEST_CASE(Call_ReplyAboveTheBound_IsTooLarge) {
  const CannedServer canned(200, std::string(kMaxJsonBytes + 1, 'x'));
  const auto answer = Call(canned.endpoint());
  BOOST_REQUIRE(answer.index() == 1U);
  BOOST_TEST((std::get<Error>(answer).code == ErrorCode::kTooLarge));
}

BOOST_AUTO_TEST_CASE(Call_ConnectionEndsWithoutAReply_IsUnavailable) {
  const CannedServer canned(0, "");
  const auto answer = Call(canned.endpoint());
  BOOST_REQUIRE(answer.index() == 1U);
  BOOST_TEST((std::get<Error>(answer).code == ErrorCode::kUnavailable));
}

BOOST_AUTO_TEST_CASE(Parse_Endpoint_TakesIpNumbersOnly) {
  const auto good =
      Capture([] { return HttpEndpoint::Parse("127.0.0.1:4000"); });
  BOOST_REQUIRE(good.index() == 0U);
  BOOST_TEST(std::get<0>(good).ToString() == "127.0.0.1:4000");
  for (const std::string text :
       {"", "127.0.0.1", "localhost:4000", ":4000", "127.0.0.1:0",
        "127.0.0.1:65536", "127.0.0.1:4000x", "127.0.0.1:"}) {
    BOOST_TEST_CONTEXT(text) {
      const auto bad = Capture([&] { return HttpEndpoint::Parse(text); });
      BOOST_TEST(bad.index() == 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(PercentEncode_ReservedCharacters_AreEncoded) {
  BOOST_TEST(PercentEncode("index/A b~") == "index%2FA%20b~");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
