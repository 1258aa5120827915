// Tests of the simulated callers of the soak.
#include "soak/callers.h"

#include <boost/test/unit_test.hpp>

#include "http/http_server.h"
#include "jacinthdeck/http/status.h"

namespace jacinthdeck::soak {

namespace {

constexpr std::size_t kRefusing = 0;
constexpr std::size_t kServing = 1;

//! Two entries, one of which refuses all calls.
struct CallersFixture {
  standins::HttpServer refusing{
      {},
      [](const standins::HttpRequest&) {
        return standins::HttpReply{http_status::kUnavailable, ""};
      }};
  standins::HttpServer serving{
      {},
      [](const standins::HttpRequest&) {
        return standins::HttpReply{http_status::kOk, ""};
      }};
  asio::io_context loop;
  Callers callers{loop, 1, 1};

  void RunUntilCalls(std::size_t count) {
    while (callers.calls().size() < count) {
      loop.run_one();
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CallersTest, CallersFixture)

// Guards against callers that keep retrying an entry that refuses them while
// other entries are idle; the platform's clients do not do so.
BOOST_AUTO_TEST_CASE(Call_IsRefused_NextGoesToAnotherEntry) {
  callers.Add(kRefusing, refusing.port());
  RunUntilCalls(2);
  callers.Add(kServing, serving.port());
  RunUntilCalls(6);
  for (std::size_t i = 3; i < callers.calls().size(); ++i) {
    BOOST_TEST(callers.calls()[i].entry == kServing);
  }
}

BOOST_AUTO_TEST_CASE(Call_IsAnswered_NextKeepsTheConnection) {
  callers.Add(kServing, serving.port());
  RunUntilCalls(2);
  callers.Add(kRefusing, refusing.port());
  RunUntilCalls(8);
  for (const Call& call : callers.calls()) {
    BOOST_TEST(call.entry == kServing);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::soak
