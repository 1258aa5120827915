// Tests of the proxy that injects link faults.
#include "soak/loopback_proxy.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "http/http_server.h"
#include "jacinthdeck/http/client_session.h"
#include "jacinthdeck/http/status.h"

namespace jacinthdeck::soak {

namespace {

using std::chrono::milliseconds;

struct ProxyFixture {
  standins::HttpServer server{{}, [](const standins::HttpRequest&) {
                                return standins::HttpReply{200, "well"};
                              }};
  asio::io_context loop;
  LoopbackProxy proxy{loop};
  ClientSession session{loop, "127.0.0.1", proxy.port()};
  ClientReply reply;

  ProxyFixture() { proxy.SetUpstream(server.port()); }

  void Call(Duration timeout) {
    bool ended = false;
    session.Call({"GET", "/", ""}, timeout, [&](const ClientReply& got) {
      reply = got;
      ended = true;
    });
    while (!ended) {
      loop.run_one();
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(LoopbackProxyTest, ProxyFixture)

BOOST_AUTO_TEST_CASE(Link_WithoutFault_PassesBothWays) {
  Call(std::chrono::seconds(10));
  BOOST_TEST(reply.status == http_status::kOk);
  BOOST_TEST(reply.body == "well");
}

BOOST_AUTO_TEST_CASE(Link_IsCutEitherWay_NothingComesBack) {
  for (const LinkMode mode :
       {LinkMode::kCutForward, LinkMode::kCutBack, LinkMode::kSilent}) {
    proxy.SetMode(mode);
    Call(milliseconds(50));
    BOOST_TEST(reply.error == "timed out");
  }
}

// Guards against a delay that is not applied, so that a run with slow links
// shows nothing about them.
BOOST_AUTO_TEST_CASE(Link_IsDelayed_AnswerTakesADelayEachWay) {
  constexpr milliseconds kDelay{30};
  proxy.SetDelay(kDelay);
  const auto begin = std::chrono::steady_clock::now();
  Call(std::chrono::seconds(10));
  BOOST_TEST(reply.body == "well");
  BOOST_TEST((std::chrono::steady_clock::now() - begin >= 2 * kDelay));
}

BOOST_AUTO_TEST_CASE(Link_Resets_CallEndsWithoutAnswer) {
  proxy.SetMode(LinkMode::kReset);
  Call(std::chrono::seconds(10));
  BOOST_TEST(reply.status == 0);
  BOOST_TEST(reply.error != "timed out");
  proxy.SetMode(LinkMode::kPass);
  Call(std::chrono::seconds(10));
  BOOST_TEST(reply.status == http_status::kOk);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::soak
