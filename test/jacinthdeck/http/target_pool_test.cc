// Tests of connections to targets against a socket that the test plays.
#include "jacinthdeck/http/target_pool.h"

#include <memory>
#include <vector>

#include "jacinthdeck/http/loop_fixture.h"
#include "support/printers.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct PoolFixture : LoopFixture, TargetPoolSink {
  tcp::acceptor acceptor{loop,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  TargetPool pool{loop, clock, Protocol(), FailureDomain("z"), *this};
  std::vector<AttemptEnd> ends;
  std::uint64_t next = 1;

  [[nodiscard]] static TargetProtocol Protocol() {
    TargetProtocol protocol;
    protocol.request_id = "Req";
    protocol.time_left_ms = "Left";
    protocol.expected_target = "Expect-Id";
    protocol.stamp = "Stamp";
    protocol.not_executed = "Not-Run";
    protocol.load = "Load";
    return protocol;
  }

  void OnAttemptEnd(AttemptEnd& end) override { ends.push_back(end); }

  OutgoingAttempt Attempt(const std::string& request_id = "r1") {
    auto request = std::make_shared<OpaqueRequest>();
    request->method = "GET";
    request->target = "/p?q=1";
    request->host = "desk";
    request->request_id = request_id;
    OutgoingAttempt attempt;
    attempt.id = AttemptId(next++);
    attempt.target.id = TargetId("t1");
    attempt.target.address = "127.0.0.1";
    attempt.target.port = acceptor.local_endpoint().port();
    attempt.request = request;
    attempt.deadline = clock.Now() + seconds(1);
    attempt.connection_limit = 2;
    return attempt;
  }

  tcp::socket Accept() {
    tcp::socket socket(loop);
    bool accepted = false;
    acceptor.async_accept(socket,
                          [&](const SystemError& error) { accepted = !error; });
    Until([&] { return accepted; });
    return socket;
  }

  void Reply(tcp::socket& socket, const std::string& text) {
    asio::write(socket, asio::buffer(text));
  }

  AttemptEnd NextEnd() {
    Until([&] { return !ends.empty(); });
    AttemptEnd end = ends.front();
    ends.erase(ends.begin());
    return end;
  }
};

constexpr const char* kGood =
    "HTTP/1.1 200 OK\r\nReq: r1\r\nStamp: s\r\nContent-Length: 2\r\n\r\nok";

}  // namespace

BOOST_FIXTURE_TEST_SUITE(TargetPoolTest, PoolFixture)

BOOST_AUTO_TEST_CASE(Send_TargetAnswers_RequestAndResponseAreWhole) {
  pool.Send(Attempt());
  tcp::socket target = Accept();
  const std::string request = ReadUntil(target, "\r\n\r\n");
  BOOST_TEST(request.starts_with("GET /p?q=1 HTTP/1.1\r\nHost: desk\r\n"));
  BOOST_TEST(request.find("Req: r1\r\n") != std::string::npos);
  BOOST_TEST(request.find("Left: 1000\r\n") != std::string::npos);
  BOOST_TEST(request.find("Expect-Id: t1\r\n") != std::string::npos);
  Reply(target, kGood);
  const AttemptEnd end = NextEnd();
  BOOST_TEST((end.outcome == AttemptOutcome::kResponse));
  BOOST_TEST(end.response.body == "ok");
  BOOST_TEST(end.response.stamp == "s");
}

BOOST_AUTO_TEST_CASE(Send_ConnectionIsIdle_IsUsedAgain) {
  pool.Send(Attempt());
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  Reply(target, kGood);
  (void)NextEnd();
  pool.Send(Attempt());
  (void)ReadUntil(target, "\r\n\r\n");
  BOOST_TEST(pool.counters().opened == 1U);
}

// A host that stands by has no share of a target's connections. Kept by all
// such hosts, idle connections take the target past its limit, and it resets
// those of hosts that have a share; so this one is closed with its answer.
BOOST_AUTO_TEST_CASE(Response_ConnectionIsToBeGivenBack_IsClosedWithIt) {
  OutgoingAttempt attempt = Attempt();
  attempt.close_after_response = true;
  pool.Send(attempt);
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  Reply(target, kGood);
  BOOST_TEST((NextEnd().outcome == AttemptOutcome::kResponse));
  BOOST_TEST(IsClosed(target));
  BOOST_TEST(pool.connections() == 0U);
}

// The answer to an earlier request is sent twice; the copy arrives where the
// next response is due. It must not be taken for it.
BOOST_AUTO_TEST_CASE(Response_OfAnEarlierRequestComesAgain_IsThrownAway) {
  pool.Send(Attempt("r1"));
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  Reply(target, kGood);
  (void)NextEnd();
  pool.Send(Attempt("r2"));
  (void)ReadUntil(target, "\r\n\r\n");
  Reply(target, kGood);
  Reply(
      target,
      "HTTP/1.1 200 OK\r\nReq: r2\r\nStamp: s\r\nContent-Length: 3\r\n\r\nnew");
  BOOST_TEST(NextEnd().response.body == "new");
  BOOST_TEST(pool.counters().foreign_responses == 1U);
}

// Bytes arrive while no request waits: the connection is closed, so that they
// are never read as the next response.
BOOST_AUTO_TEST_CASE(Response_ExtraBytesOnAnIdleConnection_ConnectionIsClosed) {
  pool.Send(Attempt());
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  Reply(target, kGood);
  (void)NextEnd();
  Reply(target, "HTTP/1.1 200 OK\r\n\r\n");
  BOOST_TEST(IsClosed(target));
  BOOST_TEST(pool.connections() == 0U);
}

// A target breaks off in the middle of a body. What came looks like an answer,
// but is not the whole one.
BOOST_AUTO_TEST_CASE(Response_IsCutShort_CountsAsBroken) {
  pool.Send(Attempt());
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  Reply(target, "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 9\r\n\r\nhalf");
  target.close();
  BOOST_TEST((NextEnd().outcome == AttemptOutcome::kBroken));
}

BOOST_AUTO_TEST_CASE(Response_WithoutLength_EndsWithItsConnection) {
  pool.Send(Attempt());
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  Reply(target, "HTTP/1.1 200 OK\r\nStamp: s\r\n\r\nall of it");
  target.shutdown(tcp::socket::shutdown_send);
  BOOST_TEST(NextEnd().response.body == "all of it");
}

// A reset on the way may have cut a body without a length anywhere.
BOOST_AUTO_TEST_CASE(Response_WithoutLengthIsReset_CountsAsBroken) {
  pool.Send(Attempt());
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  Reply(target, "HTTP/1.1 200 OK\r\nStamp: s\r\n\r\npart");
  loop.restart();
  loop.poll();
  target.set_option(asio::socket_base::linger(true, 0));
  target.close();
  BOOST_TEST((NextEnd().outcome == AttemptOutcome::kBroken));
}

BOOST_AUTO_TEST_CASE(Response_SaysNotRun_IsToldAsSuch) {
  pool.Send(Attempt());
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  Reply(target, "HTTP/1.1 503 x\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  BOOST_TEST((NextEnd().outcome == AttemptOutcome::kNotExecuted));
}

BOOST_AUTO_TEST_CASE(Response_OfAnotherTarget_IsToldAsSuch) {
  pool.Send(Attempt());
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  Reply(target, "HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n");
  BOOST_TEST((NextEnd().outcome == AttemptOutcome::kWrongTarget));
}

BOOST_AUTO_TEST_CASE(Send_NobodyListens_NothingWasSent) {
  OutgoingAttempt attempt = Attempt();
  acceptor.close();
  pool.Send(attempt);
  BOOST_TEST((NextEnd().outcome == AttemptOutcome::kNotSent));
}

// All kept connections are too old for a claim that must not be sent twice.
// They are closed to make room, and the claim goes over a new one.
BOOST_AUTO_TEST_CASE(Send_ClaimFindsOnlyOldConnections_OpensANewOne) {
  pool.Send(Attempt());
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  Reply(target, kGood);
  (void)NextEnd();
  clock.Advance(seconds(2));
  OutgoingAttempt claim = Attempt();
  claim.at_most_once = true;
  claim.connection_limit = 1;
  pool.Send(claim);
  tcp::socket fresh = Accept();
  (void)ReadUntil(fresh, "\r\n\r\n");
  Reply(fresh, kGood);
  BOOST_TEST((NextEnd().outcome == AttemptOutcome::kResponse));
}

BOOST_AUTO_TEST_CASE(Cancel_AttemptIsUnderWay_ConnectionIsClosed) {
  const OutgoingAttempt attempt = Attempt();
  pool.Send(attempt);
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  pool.Cancel(attempt.id);
  BOOST_TEST(IsClosed(target));
  BOOST_TEST(ends.empty());
}

BOOST_AUTO_TEST_CASE(Send_LimitIsReached_NothingWasSent) {
  OutgoingAttempt attempt = Attempt();
  attempt.connection_limit = 1;
  pool.Send(attempt);
  OutgoingAttempt second = Attempt();
  second.connection_limit = 1;
  pool.Send(second);
  const AttemptEnd end = NextEnd();
  BOOST_TEST(end.id == second.id);
  BOOST_TEST((end.outcome == AttemptOutcome::kNotSent));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
