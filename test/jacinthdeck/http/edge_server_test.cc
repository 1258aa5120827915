// Tests of the callers' edge against raw sockets.
#include "jacinthdeck/http/edge_server.h"

#include <memory>
#include <string>
#include <vector>

#include "jacinthdeck/http/loop_fixture.h"
#include "support/printers.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct EdgeFixture : LoopFixture, EdgeHandler {
  EdgeServer server{loop, clock, *this};
  std::vector<EdgeRequest> requests;
  std::shared_ptr<EdgeConnection> last;
  bool answer_at_once = true;
  int left = 0;

  EdgeFixture() {
    const auto listening = Capture([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(server.Listen("127.0.0.1", 0, 2));
      return true;
    });
    BOOST_REQUIRE_EQUAL(listening.index(), 0U);
    server.SetLimits({512, 64, seconds(3), seconds(15)});
  }

  void OnRequest(const std::shared_ptr<EdgeConnection>& connection,
                 EdgeRequest request,
                 TimePoint /*arrived*/) override {
    requests.push_back(std::move(request));
    last = connection;
    if (answer_at_once) {
      Answer("done");
    }
  }

  void OnDisconnect(EdgeConnection& /*connection*/) override { ++left; }

  void Answer(const std::string& body) {
    EdgeResponse response;
    response.body = body;
    last->Respond(std::move(response));
  }

  tcp::socket Connect() {
    tcp::socket socket(loop);
    socket.connect(
        tcp::endpoint(asio::ip::address_v4::loopback(), server.port()));
    return socket;
  }

  void Write(tcp::socket& socket, const std::string& text) {
    asio::write(socket, asio::buffer(text));
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(EdgeServerTest, EdgeFixture)

BOOST_AUTO_TEST_CASE(Request_WithChunks_BodyIsJoined) {
  tcp::socket caller = Connect();
  Write(caller,
        "POST /a?b HTTP/1.1\r\nHost: h\r\nX-Own: 1\r\nConnection: X-Hop\r\n"
        "X-Hop: 2\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
        "0\r\n\r\n");
  (void)ReadUntil(caller, "done");
  BOOST_REQUIRE_EQUAL(requests.size(), 1U);
  BOOST_TEST(requests[0].body == "abcde");
  BOOST_TEST(requests[0].target == "/a?b");
  BOOST_TEST(requests[0].host == "h");
  BOOST_TEST(requests[0].Find("x-own") == "1");
  BOOST_TEST(requests[0].Find("X-Hop").empty());
}

BOOST_AUTO_TEST_CASE(Requests_SentAhead_AreAnsweredInOrder) {
  tcp::socket caller = Connect();
  Write(caller,
        "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  Until([&] { return requests.size() == 2; });
  BOOST_TEST(requests[1].target == "/2");
}

// A request with two lengths is read by each hop as it likes; the rest of it
// would become a request of its own at a target. It is refused whole.
BOOST_AUTO_TEST_CASE(Request_HidesAnotherOne_IsRefusedAndReachesNobody) {
  for (const char* framing :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: +5\r\n"}) {
    tcp::socket caller = Connect();
    Write(caller, std::string("POST / HTTP/1.1\r\nHost: h\r\n") + framing +
                      "\r\n0\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string reply = ReadUntil(caller, "\r\n\r\n");
    BOOST_TEST(reply.starts_with("HTTP/1.1 400"), framing << " gave " << reply);
    BOOST_TEST(reply.find("Connection: close") != std::string::npos);
  }
  BOOST_TEST(requests.empty());
}

BOOST_AUTO_TEST_CASE(Request_IsTooLargeOrMalformed_IsRefusedWithItsStatus) {
  struct Case {
    std::string text;
    std::string reply;
  };
  const std::string line = "GET / HTTP/1.1\r\n";
  const std::vector<Case> cases{
      {line + "Host: h\r\nX: " + std::string(600, 'x') + "\r\n\r\n", "431"},
      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", "413"},
      {"nonsense\r\n\r\n", "400"},
      {line + "\r\n", "400"},
      {line + "Host: h\r\nHost: i\r\n\r\n", "400"},
      {"GET x HTTP/1.1\r\nHost: h\r\n\r\n", "400"}};
  for (const Case& one : cases) {
    tcp::socket caller = Connect();
    Write(caller, one.text);
    const std::string reply = ReadUntil(caller, "\r\n\r\n");
    BOOST_TEST(reply.starts_with("HTTP/1.1 " + one.reply),
               one.text.substr(0, 60) << " gave " << reply.substr(0, 20));
  }
  BOOST_TEST(requests.empty());
}

// The caller leaves while its request is under way: that is noticed without
// writing to it, so that its work can be cancelled.
BOOST_AUTO_TEST_CASE(Caller_LeavesBeforeItsAnswer_IsNoticed) {
  answer_at_once = false;
  {
    tcp::socket caller = Connect();
    Write(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    Until([&] { return requests.size() == 1; });
  }
  Until([&] { return left == 1; });
  Answer("too late");
  BOOST_TEST(server.connections() == 0U);
}

BOOST_AUTO_TEST_CASE(Header_IsNotInInTime_IsRefused) {
  tcp::socket caller = Connect();
  Write(caller, "GET / HT");
  Until([&] { return server.connections() == 1; });
  loop.restart();
  loop.run_for(milliseconds(20));
  clock.Advance(seconds(4));
  server.CheckTimes();
  BOOST_TEST(ReadUntil(caller, "\r\n\r\n").starts_with("HTTP/1.1 408"));
}

BOOST_AUTO_TEST_CASE(Connection_IsIdleTooLong_IsClosed) {
  tcp::socket caller = Connect();
  Write(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  (void)ReadUntil(caller, "done");
  clock.Advance(seconds(14));
  server.CheckTimes();
  BOOST_TEST(server.connections() == 1U);
  clock.Advance(seconds(2));
  server.CheckTimes();
  BOOST_TEST(IsClosed(caller));
}

// A host that stops still answers what comes, and asks each caller to leave.
BOOST_AUTO_TEST_CASE(Drain_RequestComes_IsAnsweredWithClose) {
  tcp::socket caller = Connect();
  Write(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  (void)ReadUntil(caller, "done");
  server.Drain();
  Write(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string reply = ReadUntil(caller, "done");
  BOOST_TEST(reply.find("Connection: close") != std::string::npos);
  BOOST_TEST(IsClosed(caller));
}

BOOST_AUTO_TEST_CASE(Connections_BeyondTheLimit_AreClosed) {
  tcp::socket first = Connect();
  tcp::socket second = Connect();
  tcp::socket third = Connect();
  BOOST_TEST(IsClosed(third));
  BOOST_TEST(server.counters().over_limit == 1U);
}

BOOST_AUTO_TEST_CASE(Head_IsAnswered_LengthIsKeptAndNoBodySent) {
  answer_at_once = false;
  tcp::socket caller = Connect();
  Write(caller, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
  Until([&] { return requests.size() == 1; });
  EdgeResponse response;
  response.headers.push_back({"Content-Length", "12"});
  last->Respond(std::move(response));
  const std::string reply = ReadUntil(caller, "\r\n\r\n");
  BOOST_TEST(reply.find("Content-Length: 12") != std::string::npos);
  BOOST_TEST(reply.ends_with("\r\n\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
