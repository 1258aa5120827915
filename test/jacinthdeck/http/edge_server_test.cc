// Tests of the HTTP server for callers, with raw sockets as clients.
#include "jacinthdeck/http/edge_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jacinthdeck/http/loop_fixture.h"
#include "support/printers.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct EdgeServerFixture : EventLoopFixture, EdgeHandler {
  //! Memory of a host whose callers get 100,000 bytes for their requests.
  CallerMemory memory{800000};
  EdgeServer server{loop, clock, *this, memory};
  std::vector<EdgeRequest> requests;
  std::shared_ptr<EdgeConnection> last_connection;
  bool respond_immediately = true;
  int disconnects = 0;

  EdgeServerFixture() {
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
    last_connection = connection;
    if (respond_immediately) {
      RespondWithBody("done");
    }
  }

  void OnDisconnect(EdgeConnection& /*connection*/) override { ++disconnects; }

  void RespondWithBody(const std::string& body) {
    EdgeResponse response;
    response.body = body;
    last_connection->Respond(std::move(response));
  }

  //! Answers the current request and the one behind it, and expects that only
  //! the second response closes the connection.
  void AnswerTwoAndExpectClose(tcp::socket& caller) {
    RespondWithBody("first");
    RunUntil([&] { return requests.size() == 2; });
    RespondWithBody("second");
    const std::string reply = ReadUntil(caller, "second");
    BOOST_TEST(reply.find("first") < reply.find("Connection: close"));
    BOOST_TEST(IsClosed(caller));
  }

  tcp::socket Connect() {
    tcp::socket socket(loop);
    socket.connect(
        tcp::endpoint(asio::ip::address_v4::loopback(), server.port()));
    return socket;
  }

  void SendText(tcp::socket& socket, const std::string& text) {
    asio::write(socket, asio::buffer(text));
  }
};

//! Returns the TCP_USER_TIMEOUT of the server's socket of a connection, found
//! among the descriptors of the process by the caller's address; empty if there
//! is none.
std::optional<milliseconds> UserTimeoutOfServerSide(const tcp::socket& caller) {
  constexpr int kMaxDescriptors = 1024;
  const std::uint16_t port = caller.local_endpoint().port();
  for (int descriptor = 0; descriptor < kMaxDescriptors; ++descriptor) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) ==
            0 &&
        peer.sin_family == AF_INET && ntohs(peer.sin_port) == port) {
      unsigned int timeout = 0;
      socklen_t length = sizeof(timeout);
      (void)getsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
                       &length);
      return milliseconds(timeout);
    }
  }
  return std::nullopt;
}

constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

}  // namespace

BOOST_FIXTURE_TEST_SUITE(EdgeServerTest, EdgeServerFixture)

BOOST_AUTO_TEST_CASE(Request_ChunkedBody_IsDecoded) {
  tcp::socket caller = Connect();
  SendText(
      caller,
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

// Guards against a body within its limit that takes bytes without end, as each
// of its chunks has a long head.
BOOST_AUTO_TEST_CASE(ChunkedBody_MostlyFraming_IsRejected) {
  tcp::socket caller = Connect();
  std::string text =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int chunk = 0; chunk < 60; ++chunk) {
    text += "1;" + std::string(400, 'e') + "\r\nx\r\n";
  }
  SendText(caller, text);
  const std::string reply = ReadUntil(caller, "\r\n\r\n");
  BOOST_TEST(reply.starts_with("HTTP/1.1 413"));
  BOOST_TEST(requests.empty());
}

BOOST_AUTO_TEST_CASE(ChunkedBody_ChunksOfOneByte_IsAccepted) {
  tcp::socket caller = Connect();
  std::string text =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int chunk = 0; chunk < 64; ++chunk) {
    text += "1\r\nx\r\n";
  }
  SendText(caller, text + "0\r\n\r\n");
  (void)ReadUntil(caller, "done");
  BOOST_REQUIRE_EQUAL(requests.size(), 1U);
  BOOST_TEST(requests[0].body.size() == 64U);
}

// Guards against a trailer that passes for a header, such as a deadline or a
// key that was not in the head.
BOOST_AUTO_TEST_CASE(Trailers_OfAChunkedBody_AreNotHeaders) {
  tcp::socket caller = Connect();
  SendText(caller,
           "POST / HTTP/1.1\r\nHost: h\r\nX-Own: 1\r\n"
           "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
           "X-Other: 2\r\nHost: i\r\nConnection: close\r\n\r\n");
  (void)ReadUntil(caller, "done");
  BOOST_REQUIRE_EQUAL(requests.size(), 1U);
  BOOST_TEST(requests[0].body == "a");
  BOOST_TEST(requests[0].host == "h");
  BOOST_TEST(requests[0].Find("X-Own") == "1");
  BOOST_TEST(requests[0].Find("X-Other").empty());
  BOOST_TEST(server.connections() == 1U);
}

BOOST_AUTO_TEST_CASE(Requests_Pipelined_AreHandledInOrder) {
  tcp::socket caller = Connect();
  SendText(
      caller,
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  RunUntil([&] { return requests.size() == 2; });
  BOOST_TEST(requests[1].target == "/2");
}

// Guards against request smuggling: hops disagree on the length of a request
// with ambiguous framing, and the rest of its body would become a separate
// request at a target. Such a request is rejected as a whole.
BOOST_AUTO_TEST_CASE(Request_AmbiguousFraming_IsRejected) {
  for (const char* framing :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked, gzip\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: gzip\r\n",
        "Content-Length: +5\r\n"}) {
    tcp::socket caller = Connect();
    SendText(caller, std::string("POST / HTTP/1.1\r\nHost: h\r\n") + framing +
                         "\r\n0\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string reply = ReadUntil(caller, "\r\n\r\n");
    BOOST_TEST(reply.starts_with("HTTP/1.1 400"), framing << " gave " << reply);
    BOOST_TEST(reply.find("Connection: close") != std::string::npos);
  }
  BOOST_TEST(requests.empty());
}

BOOST_AUTO_TEST_CASE(Request_TooLargeOrMalformed_IsRejectedWithItsStatus) {
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
  for (const Case& test_case : cases) {
    tcp::socket caller = Connect();
    SendText(caller, test_case.text);
    const std::string reply = ReadUntil(caller, "\r\n\r\n");
    BOOST_TEST(reply.starts_with("HTTP/1.1 " + test_case.reply),
               test_case.text.substr(0, 60) << " gave " << reply.substr(0, 20));
  }
  BOOST_TEST(requests.empty());
}

// Guards against bytes that are kept until a line or a section ends, which has
// no limit of its own in the parser.
BOOST_AUTO_TEST_CASE(ChunkedBody_LineOrTrailersTooLong_IsRejected) {
  const std::string head =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string trailers;
  while (trailers.size() < 8192) {
    trailers += "T: 0123456789abcdef\r\n";
  }
  for (const std::string& rest :
       {"1;" + std::string(8192, 'e'), std::string(8192, '0'),
        "0\r\n" + trailers, "0\r\nT: " + std::string(8192, 't')}) {
    tcp::socket caller = Connect();
    SendText(caller, head + rest);
    const std::string reply = ReadUntil(caller, "\r\n\r\n");
    BOOST_TEST(reply.starts_with("HTTP/1.1 431"),
               rest.substr(0, 10) << " gave " << reply.substr(0, 20));
  }
  BOOST_TEST(requests.empty());
}

// Guards against bodies that are each within their limit, and together fill the
// memory of the host.
BOOST_AUTO_TEST_CASE(Bodies_BeyondTheMemory_OldestIsRejected) {
  server.SetLimits({512, 100000, seconds(3), seconds(15)});
  const std::string head =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n";
  tcp::socket first = Connect();
  SendText(first, head + std::string(59999, 'x'));
  RunUntil([&] { return memory.requests()->used() >= 59999; });
  clock.Advance(milliseconds(10));
  tcp::socket second = Connect();
  SendText(second, head + std::string(60000, 'x'));
  (void)ReadUntil(second, "done");
  const std::string reply = ReadUntil(first, "\r\n\r\n");
  BOOST_TEST(reply.starts_with("HTTP/1.1 503"));
  BOOST_TEST(reply.find("Retry-After: ") != std::string::npos);
  BOOST_TEST(server.counters().without_memory == 1U);
  BOOST_REQUIRE_EQUAL(requests.size(), 1U);
  BOOST_TEST(requests[0].body.size() == 60000U);
}

// Guards against large requests that take the memory from small ones.
BOOST_AUTO_TEST_CASE(SmallRequest_MemoryInUse_IsAccepted) {
  server.SetLimits({512, 100000, seconds(3), seconds(15)});
  respond_immediately = false;
  tcp::socket large = Connect();
  SendText(large,
           "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 95000\r\n\r\n" +
               std::string(95000, 'x'));
  RunUntil([&] { return requests.size() == 1; });
  tcp::socket small = Connect();
  SendText(small, kRequest);
  RunUntil([&] { return requests.size() == 2; });
  BOOST_TEST(memory.requests()->used() >= 95000U);
  requests.clear();
  BOOST_TEST(memory.requests()->used() == 0U);
}

// Guards against responses that fill the memory of the host, because their
// callers do not read them.
BOOST_AUTO_TEST_CASE(Responses_BeyondTheMemory_OldestIsClosed) {
  // More than the kernel's buffers on both sides take.
  const std::string body(std::size_t{16} << 20U, 'x');
  respond_immediately = false;
  tcp::socket first = Connect();
  SendText(first, kRequest);
  RunUntil([&] { return requests.size() == 1; });
  RespondWithBody(body);
  BOOST_TEST(memory.responses()->used() > body.size());
  clock.Advance(milliseconds(10));
  tcp::socket second = Connect();
  SendText(second, kRequest);
  RunUntil([&] { return requests.size() == 2; });
  RespondWithBody(body);
  BOOST_TEST(server.connections() == 1U);
  BOOST_TEST(server.counters().responses_dropped == 1U);
  std::size_t received = 0;
  bool ended = false;
  RunUntil([&] {
    std::size_t some = 0;
    do {
      some = ReadSome(second, ended).size();
      received += some;
    } while (some > 0);
    return ended || received > body.size();
  });
  BOOST_TEST(received > body.size());
  RunUntil([&] { return memory.responses()->used() == 0; });
}

// Guards against a limit of the configuration that the memory is too small for.
BOOST_AUTO_TEST_CASE(LargestRequest_LittleMemory_IsAccepted) {
  const EdgeLimits limits{512, 300000, seconds(3), seconds(15)};
  server.SetLimits(limits);
  memory.Fit(limits);
  tcp::socket caller = Connect();
  SendText(caller,
           "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" +
               std::string(300000, 'x'));
  (void)ReadUntil(caller, "done");
  BOOST_TEST(requests.size() == 1U);
}

// Guards against a crowd of header fields: each takes far more memory than its
// text.
BOOST_AUTO_TEST_CASE(HeaderFields_BeyondTheMemory_AreRejected) {
  server.SetLimits({16384, 64, seconds(3), seconds(15)});
  std::string fields;
  for (int field = 0; field < 1000; ++field) {
    fields += "a:\r\n";
  }
  tcp::socket caller = Connect();
  SendText(caller, "GET / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n");
  const std::string reply = ReadUntil(caller, "\r\n\r\n");
  BOOST_TEST(reply.starts_with("HTTP/1.1 503"));
  BOOST_TEST(memory.requests()->used() == 0U);
}

// A caller disconnects while its request is in progress. The server must notice
// without writing to it, so that the work for the request can be cancelled.
BOOST_AUTO_TEST_CASE(Caller_DisconnectsBeforeResponse_HandlerIsNotified) {
  respond_immediately = false;
  {
    tcp::socket caller = Connect();
    SendText(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    RunUntil([&] { return requests.size() == 1; });
  }
  RunUntil([&] { return disconnects == 1; });
  RespondWithBody("too late");
  BOOST_TEST(server.connections() == 0U);
}

// Guards against work for a caller that has left, which goes on because the
// connection stops reading once enough has arrived behind the request.
BOOST_AUTO_TEST_CASE(Caller_SendsFarAheadAndLeaves_HandlerIsNotified) {
  respond_immediately = false;
  tcp::socket caller = Connect();
  SendText(caller, kRequest + std::string(98304, 'x'));
  RunUntil([&] { return requests.size() == 1; });
  loop.restart();
  loop.run_for(milliseconds(20));
  server.ApplyTimeouts();
  BOOST_TEST(disconnects == 0);
  caller.close();
  RunUntil([&] {
    server.ApplyTimeouts();
    return disconnects == 1;
  });
  BOOST_TEST(server.connections() == 0U);
}

BOOST_AUTO_TEST_CASE(Header_IncompleteAtTimeout_IsRejected) {
  tcp::socket caller = Connect();
  SendText(caller, "GET / HT");
  RunUntil([&] { return server.connections() == 1; });
  loop.restart();
  loop.run_for(milliseconds(20));
  clock.Advance(seconds(4));
  server.ApplyTimeouts();
  BOOST_TEST(ReadUntil(caller, "\r\n\r\n").starts_with("HTTP/1.1 408"));
}

BOOST_AUTO_TEST_CASE(Connection_IdleBeyondTimeout_IsClosed) {
  tcp::socket caller = Connect();
  SendText(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  (void)ReadUntil(caller, "done");
  clock.Advance(seconds(14));
  server.ApplyTimeouts();
  BOOST_TEST(server.connections() == 1U);
  clock.Advance(seconds(2));
  server.ApplyTimeouts();
  BOOST_TEST(IsClosed(caller));
}

// A host that is shutting down still answers requests that arrive, and closes
// each connection with its response.
BOOST_AUTO_TEST_CASE(Drain_RequestArrives_IsAnsweredWithClose) {
  tcp::socket caller = Connect();
  SendText(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  (void)ReadUntil(caller, "done");
  server.Drain();
  SendText(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string reply = ReadUntil(caller, "done");
  BOOST_TEST(reply.find("Connection: close") != std::string::npos);
  BOOST_TEST(IsClosed(caller));
}

// Guards against a request that the host has read behind another one, and drops
// with the close that announces its stop.
BOOST_AUTO_TEST_CASE(Drain_RequestWasReadBehindAnother_BothAreAnswered) {
  respond_immediately = false;
  tcp::socket caller = Connect();
  SendText(
      caller,
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  RunUntil([&] { return requests.size() == 1; });
  server.Drain();
  AnswerTwoAndExpectClose(caller);
}

// Guards against a request that has reached the host and is reset because the
// host closes idle connections before it reads.
BOOST_AUTO_TEST_CASE(CloseIdle_RequestIsNotReadYet_IsAnswered) {
  tcp::socket caller = Connect();
  SendText(caller, kRequest);
  (void)ReadUntil(caller, "done");
  server.Drain();
  SendText(caller, kRequest);
  server.CloseIdle();
  BOOST_TEST(ReadUntil(caller, "done").starts_with("HTTP/1.1 200"));
  BOOST_TEST(IsClosed(caller));
}

// Guards against the same at the idle timeout.
BOOST_AUTO_TEST_CASE(IdleTimeout_RequestIsNotReadYet_IsAnswered) {
  tcp::socket caller = Connect();
  SendText(caller, kRequest);
  (void)ReadUntil(caller, "done");
  clock.Advance(seconds(16));
  SendText(caller, kRequest);
  server.ApplyTimeouts();
  BOOST_TEST(ReadUntil(caller, "done").starts_with("HTTP/1.1 200"));
}

// Guards against a request that has reached the host behind another one and is
// discarded with the close that announces the stop.
BOOST_AUTO_TEST_CASE(Drain_RequestBehindAnotherIsNotReadYet_BothAreAnswered) {
  respond_immediately = false;
  tcp::socket caller = Connect();
  SendText(caller, kRequest);
  RunUntil([&] { return requests.size() == 1; });
  server.Drain();
  SendText(caller, kRequest);
  AnswerTwoAndExpectClose(caller);
}

// Guards against a connection that closes without an answer because the request
// on it has not arrived as a whole when the host ends.
BOOST_AUTO_TEST_CASE(RejectIncomplete_RequestArrivedInPart_Is503) {
  tcp::socket caller = Connect();
  SendText(caller, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab");
  RunUntil([&] { return server.connections() == 1; });
  RunUntil([&] {
    server.RejectIncomplete();
    return server.counters().rejected == 1;
  });
  const std::string reply = ReadUntil(caller, "\r\n\r\n");
  BOOST_TEST(reply.starts_with("HTTP/1.1 503"));
  // Another host serves the caller at once.
  BOOST_TEST(reply.find("Retry-After") == std::string::npos);
  BOOST_TEST(requests.empty());
}

// Guards against a reset that discards the response to a rejected request whose
// body is still arriving, and against a body without an end that keeps its
// connection open.
BOOST_AUTO_TEST_CASE(RejectedRequest_BodyStillArrives_IsReadForBoundedTime) {
  constexpr milliseconds kBetweenPieces{600};
  constexpr milliseconds kBodyTimeout{15000};
  tcp::socket caller = Connect();
  caller.set_option(tcp::no_delay(true));
  SendText(caller,
           "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999\r\n\r\n");
  RunUntil([&] { return server.counters().rejected == 1; });
  SystemError error;
  milliseconds sent_for{0};
  while (sent_for + kBetweenPieces <= kBodyTimeout) {
    asio::write(caller, asio::buffer(std::string(64, 'x')), error);
    BOOST_REQUIRE(!error);
    loop.restart();
    (void)loop.poll();
    clock.Advance(kBetweenPieces);
    sent_for += kBetweenPieces;
    server.ApplyTimeouts();
    BOOST_REQUIRE_MESSAGE(server.connections() == 1U,
                          "closed after " << sent_for.count() << " ms");
  }
  BOOST_TEST(ReadUntil(caller, "\r\n\r\n").starts_with("HTTP/1.1 413"));
  asio::write(caller, asio::buffer(std::string(64, 'x')), error);
  loop.restart();
  (void)loop.poll();
  clock.Advance(kBetweenPieces);
  server.ApplyTimeouts();
  BOOST_TEST(server.connections() == 0U);
}

// Guards against a response that is cut off for a caller that reads slowly: on
// a kept connection that is closed as idle, at Connection: close, and while the
// host stops.
BOOST_AUTO_TEST_CASE(LargeResponse_CallerReadsSlowly_ArrivesAsWhole) {
  respond_immediately = false;
  const std::string body(1048576, 'b');
  enum class Close { kIdle, kHeader, kStop };
  for (const Close close : {Close::kIdle, Close::kHeader, Close::kStop}) {
    tcp::socket caller(loop);
    caller.open(tcp::v4());
    caller.set_option(asio::socket_base::receive_buffer_size(4096));
    caller.connect({asio::ip::address_v4::loopback(), server.port()});
    requests.clear();
    SendText(caller,
             std::string("GET / HTTP/1.1\r\nHost: h\r\n") +
                 (close == Close::kHeader ? "Connection: close\r\n" : "") +
                 "\r\n");
    RunUntil([&] { return requests.size() == 1; });
    if (close == Close::kStop) {
      server.Drain();
    }
    RespondWithBody(body);
    std::string received;
    std::size_t closed_at = 0;
    bool ended = false;
    RunUntil([&] {
      received += ReadSome(caller, ended);
      clock.Advance(milliseconds(30));
      closed_at = server.connections() > 0 ? received.size() : closed_at;
      server.ApplyTimeouts();
      server.CloseIdle();
      return ended;
    });
    BOOST_TEST((received.size() > body.size() && received.ends_with(body)),
               "received " << received.size() << " bytes");
    // The host had closed the connection before the caller had read all.
    BOOST_TEST(closed_at < received.size());
  }
}

// Guards against a kernel that resets the connection of a caller who stops
// reading, with the rest of its response, before the timeout of a write: the
// bound of links between hosts, 4 s, held for callers as well.
BOOST_AUTO_TEST_CASE(LargeResponse_CallerStopsReading_IsKeptForItsTimeout) {
  respond_immediately = false;
  tcp::socket caller = Connect();
  SendText(caller, kRequest);
  RunUntil([&] { return requests.size() == 1; });
  RespondWithBody(std::string(8388608, 'b'));
  clock.Advance(EdgeConnection::kWriteTimeout);
  server.ApplyTimeouts();
  BOOST_TEST(server.connections() == 1U);
  const auto kept = UserTimeoutOfServerSide(caller);
  BOOST_REQUIRE(kept.has_value());
  BOOST_TEST((*kept >= EdgeConnection::kWriteTimeout),
             "reset by the kernel after " << kept->count() << " ms");
  clock.Advance(milliseconds(1));
  server.ApplyTimeouts();
  BOOST_TEST(server.connections() == 0U);
}

// Guards against a request that is reset with the port: its connection was
// established, but a busy host had not accepted it yet.
BOOST_AUTO_TEST_CASE(StopListening_ConnectionsAwaitAccept_AreAnswered) {
  tcp::socket first = Connect();
  tcp::socket second = Connect();
  SendText(first, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  SendText(second, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  server.Drain();
  server.StopListening();
  BOOST_TEST(ReadUntil(first, "done").ends_with("done"));
  BOOST_TEST(ReadUntil(second, "done").ends_with("done"));
}

// Each caller of the limit awaits its response.
BOOST_AUTO_TEST_CASE(Connections_BeyondTheLimit_AreClosed) {
  respond_immediately = false;
  tcp::socket first = Connect();
  SendText(first, kRequest);
  tcp::socket second = Connect();
  SendText(second, kRequest);
  RunUntil([&] { return requests.size() == 2; });
  tcp::socket third = Connect();
  BOOST_TEST(IsClosed(third));
  BOOST_TEST(server.counters().over_limit == 1U);
  BOOST_TEST(server.counters().displaced == 0U);
}

// Guards against callers that take every connection and send no request.
BOOST_AUTO_TEST_CASE(Connection_BeyondTheLimit_LongestIdleIsClosed) {
  tcp::socket first = Connect();
  RunUntil([&] { return server.connections() == 1; });
  clock.Advance(milliseconds(10));
  tcp::socket second = Connect();
  RunUntil([&] { return server.connections() == 2; });
  clock.Advance(milliseconds(10));
  tcp::socket third = Connect();
  BOOST_TEST(IsClosed(first));
  SendText(second, kRequest);
  SendText(third, kRequest);
  (void)ReadUntil(second, "done");
  (void)ReadUntil(third, "done");
  BOOST_TEST(server.counters().displaced == 1U);
}

// Guards against a request that is cut while another connection is idle.
BOOST_AUTO_TEST_CASE(Connection_BeyondTheLimit_IdleOneGoesBeforeRequests) {
  tcp::socket reading = Connect();
  SendText(reading, "GET / HT");
  RunUntil([&] { return server.connections() == 1; });
  clock.Advance(milliseconds(10));
  tcp::socket idle = Connect();
  RunUntil([&] { return server.connections() == 2; });
  tcp::socket third = Connect();
  BOOST_TEST(IsClosed(idle));
  tcp::socket fourth = Connect();
  SendText(fourth, "GET / HT");
  SendText(third, kRequest);
  (void)ReadUntil(third, "done");
  BOOST_TEST(server.counters().displaced == 2U);
}

// Guards against callers that keep every connection, because what they sent
// ahead hides that they have left.
BOOST_AUTO_TEST_CASE(Connection_BeyondTheLimit_SentAheadIsAbandoned) {
  respond_immediately = false;
  tcp::socket first = Connect();
  SendText(first, kRequest + std::string(65536, 'x'));
  tcp::socket second = Connect();
  SendText(second, kRequest);
  RunUntil([&] { return requests.size() == 2; });
  loop.restart();
  loop.run_for(milliseconds(20));
  tcp::socket third = Connect();
  BOOST_TEST(IsClosed(first));
  BOOST_TEST(disconnects == 1);
  BOOST_TEST(server.connections() == 2U);
}

BOOST_AUTO_TEST_CASE(HeadRequest_Answered_KeepsLengthAndSendsNoBody) {
  respond_immediately = false;
  tcp::socket caller = Connect();
  SendText(caller, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
  RunUntil([&] { return requests.size() == 1; });
  EdgeResponse response;
  response.headers.push_back({"Content-Length", "12"});
  last_connection->Respond(std::move(response));
  const std::string reply = ReadUntil(caller, "\r\n\r\n");
  BOOST_TEST(reply.find("Content-Length: 12") != std::string::npos);
  BOOST_TEST(reply.ends_with("\r\n\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
