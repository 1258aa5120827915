// Tests of the simulated callers of the soak.
#include "soak/callers.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstddef>

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

  void RunUntilCalls(std::size_t count) { RunUntilCalls(callers, count); }
  void RunUntilCalls(const Callers& until, std::size_t count) {
    while (until.calls().size() < count) {
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

BOOST_AUTO_TEST_CASE(Entry_Drains_GetsNoNewConnections) {
  callers.Add(kRefusing, refusing.port());
  callers.Add(kServing, serving.port());
  callers.BeginDrain(kRefusing);
  RunUntilCalls(8);
  for (const Call& call : callers.calls()) {
    BOOST_TEST(call.entry == kServing);
    BOOST_TEST((call.kind != CallKind::kSlow));
  }
}

// Guards against rolling restarts whose callers all leave a draining entry at
// once, so that none of its calls is open when it ends.
BOOST_AUTO_TEST_CASE(Entry_DrainsInARollingRestart_SomeCallersGoOnConnecting) {
  constexpr std::size_t kCallers = 12;
  constexpr std::size_t kCalls = 96;
  Callers rolling{loop, kCallers, 1, false, true};
  rolling.Add(kRefusing, refusing.port());
  rolling.BeginDrain(kRefusing);
  RunUntilCalls(rolling, kCalls);
  BOOST_TEST(std::ranges::count(rolling.calls(), CallKind::kSlow, &Call::kind) >
             0);
  rolling.Remove(kRefusing);
  rolling.Add(kServing, serving.port());
  RunUntilCalls(rolling, kCalls + 4 * kCallers);
  // Each caller had at most one call under way.
  BOOST_TEST(std::ranges::count(
                 rolling.calls().begin() + static_cast<std::ptrdiff_t>(kCalls),
                 rolling.calls().end(), kRefusing,
                 &Call::entry) <= static_cast<std::ptrdiff_t>(kCallers));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::soak
