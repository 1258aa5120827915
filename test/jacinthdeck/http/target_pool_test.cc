// Tests of the target pool; the test acts as the target on a raw socket.
#include "jacinthdeck/http/target_pool.h"

#include <memory>
#include <vector>

#include "jacinthdeck/http/target_pool_fixture.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! Limits of what a target may make this host read for one attempt, and hold
//! for all; buffers of the sockets included.
constexpr std::size_t kMaxBytesTaken = std::size_t{48} << 20U;
constexpr std::uint64_t kMaxBytesHeld = std::uint64_t{33} << 20U;

constexpr const char* kValidResponse =
    "HTTP/1.1 200 OK\r\nReq: r1\r\nStamp: s\r\nContent-Length: 2\r\n\r\nok";
constexpr const char* kChunkedHead =
    "HTTP/1.1 200 OK\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr const char* kSuccessWithoutId =
    "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 2\r\n\r\nok";
constexpr const char* kRefusalWithoutId =
    "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
constexpr const char* kNotExecutedResponse =
    "HTTP/1.1 503 Full\r\nReq: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

}  // namespace

BOOST_FIXTURE_TEST_SUITE(TargetPoolTest, TargetPoolFixture)

BOOST_AUTO_TEST_CASE(Send_TargetAnswers_RequestAndResponseAreComplete) {
  pool.Send(MakeAttempt());
  tcp::socket target = Accept();
  const std::string request = ReadUntil(target, "\r\n\r\n");
  BOOST_TEST(request.starts_with("GET /p?q=1 HTTP/1.1\r\nHost: desk\r\n"));
  BOOST_TEST(request.find("Req: r1\r\n") != std::string::npos);
  BOOST_TEST(request.find("Left: 1000\r\n") != std::string::npos);
  BOOST_TEST(request.find("Expect-Id: t1\r\n") != std::string::npos);
  SendResponse(target, kValidResponse);
  const AttemptEnd end = WaitForEnd();
  BOOST_TEST((end.outcome == AttemptOutcome::kResponse));
  BOOST_TEST(end.response.body == "ok");
  BOOST_TEST(end.response.stamp == "s");
}

BOOST_AUTO_TEST_CASE(Send_IdleConnectionExists_IsReused) {
  pool.Send(MakeAttempt());
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  SendResponse(target, kValidResponse);
  (void)WaitForEnd();
  pool.Send(MakeAttempt("r2"));
  (void)ReadUntil(target, "\r\n\r\n");
  BOOST_TEST(pool.counters().opened == 1U);
}

// Guards against a connection that is opened twice: the check after a lost one
// leaves its connection to the next attempt.
// Guards against connections to many targets that take all descriptors.
BOOST_AUTO_TEST_CASE(Send_LimitOfAllTargetsIsReached_IdleConnectionGoes) {
  pool.SetConnectionLimit(1);
  pool.Send(MakeAttempt());
  tcp::socket first = Accept();
  (void)ReadUntil(first, "\r\n\r\n");
  SendResponse(first, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  (void)WaitForEnd();
  OutgoingAttempt other = MakeAttempt("r2");
  other.target.id = TargetId("t2");
  pool.Send(other);
  tcp::socket second = Accept();
  BOOST_TEST(IsClosed(first));
  pool.Send(MakeAttempt("r3"));
  BOOST_TEST((WaitForEnd().outcome == AttemptOutcome::kNotSent));
  BOOST_TEST(pool.connections() == 1U);
  BOOST_TEST(pool.counters().limit_refusals == 1U);
}

// Guards against a request that arrives cut or twice when the kernel takes it
// in pieces, and whose attempts share its text.
BOOST_AUTO_TEST_CASE(Send_RequestIsWrittenInPieces_IsComplete) {
  auto request = std::make_shared<OpaqueRequest>();
  request->method = "POST";
  request->target = "/p";
  request->host = "desk";
  request->headers = {{"X-Long", std::string(60000, 'h')}};
  request->has_body = true;
  request->body.resize(std::size_t{12} << 20U);
  for (std::size_t i = 0; i < request->body.size(); ++i) {
    request->body[i] = static_cast<char>('a' + i % 23);
  }
  for (const char* id : {"t1", "t2"}) {
    OutgoingAttempt attempt = MakeAttempt("r1");
    attempt.target.id = TargetId(id);
    attempt.request = request;
    pool.Send(attempt);
    tcp::socket target = Accept();
    std::string received;
    bool ended = false;
    RunUntil([&] {
      std::string some;
      do {
        some = ReadSome(target, ended);
        received += some;
      } while (!some.empty());
      return ended || received.size() > request->body.size() + 60000;
    });
    const std::size_t head_end = received.find("\r\n\r\n");
    BOOST_TEST(!ended);
    BOOST_REQUIRE(head_end != std::string::npos);
    const std::string head = received.substr(0, head_end);
    BOOST_TEST(head.starts_with("POST /p HTTP/1.1\r\nHost: desk\r\n"));
    BOOST_TEST(
        head.find("Content-Length: " + std::to_string(request->body.size())) !=
        std::string::npos);
    BOOST_TEST(head.ends_with("\r\nExpect-Id: " + std::string(id)));
    BOOST_TEST((received.substr(head_end + 4) == request->body));
  }
}

// Guards against a status that is none, such as 000, in an answer to a caller.
BOOST_AUTO_TEST_CASE(Response_StatusOutsideTheProtocol_CountsAsBroken) {
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string length = "Content-Length: 0\r\n";
  for (const std::string& before : {std::string(), interim}) {
    for (const char* status : {"000", "001", "099", "600", "999"}) {
      for (const std::string& framing : {length, std::string()}) {
        pool.Send(MakeAttempt("r" + std::to_string(next_attempt_id)));
        {
          tcp::socket target = Accept();
          (void)ReadUntil(target, "\r\n\r\n");
          std::string text = before;
          text += "HTTP/1.1 ";
          text += status;
          text += " Trouble\r\nStamp: s\r\n";
          text += framing;
          SendResponse(target, text + "\r\n");
        }
        BOOST_TEST((WaitForEnd().outcome == AttemptOutcome::kBroken),
                   before << status << framing);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(CheckTarget_TargetAccepts_ConnectionIsUsedNext) {
  pool.CheckTarget(MakeAttempt().target, 2, true);
  BOOST_TEST(checks.empty());
  tcp::socket target = Accept();
  BOOST_TEST((WaitForCheck() == TargetCheck::kReachable));
  pool.Send(MakeAttempt());
  (void)ReadUntil(target, "\r\n\r\n");
  BOOST_TEST(pool.counters().opened == 1U);
}

BOOST_AUTO_TEST_CASE(CheckTarget_ConnectionIsNotKept_IsClosed) {
  pool.CheckTarget(MakeAttempt().target, 1, false);
  BOOST_TEST((WaitForCheck() == TargetCheck::kReachable));
  BOOST_TEST(pool.connections() == 0U);
}

BOOST_AUTO_TEST_CASE(CheckTarget_NothingListens_IsUnreachable) {
  const TargetEntry target = MakeAttempt().target;
  acceptor.close();
  pool.CheckTarget(target, 2, true);
  BOOST_TEST((WaitForCheck() == TargetCheck::kUnreachable));
  BOOST_TEST(pool.connections() == 0U);
}

// Guards against a target that is taken for ended because this host may open no
// more connections to it.
BOOST_AUTO_TEST_CASE(CheckTarget_ConnectionLimitIsReached_IsUnknown) {
  pool.Send(MakeAttempt());
  pool.CheckTarget(MakeAttempt().target, 1, true);
  BOOST_TEST((WaitForCheck() == TargetCheck::kUnknown));
  BOOST_TEST(pool.counters().opened == 1U);
}

BOOST_AUTO_TEST_CASE(Send_NothingListens_TargetIsUnreachable) {
  const OutgoingAttempt attempt = MakeAttempt();
  acceptor.close();
  pool.Send(attempt);
  const AttemptEnd end = WaitForEnd();
  BOOST_TEST((end.outcome == AttemptOutcome::kNotSent));
  BOOST_TEST(end.unreachable);
}

// A standby host has no share of a target's connections. If all standby hosts
// kept idle connections, the target would exceed its limit and reset those of
// hosts that have a share. Such a connection is therefore closed with its
// response.
BOOST_AUTO_TEST_CASE(Response_CloseAfterResponseIsSet_ConnectionIsClosed) {
  OutgoingAttempt attempt = MakeAttempt();
  attempt.close_after_response = true;
  pool.Send(attempt);
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  SendResponse(target, kValidResponse);
  BOOST_TEST((WaitForEnd().outcome == AttemptOutcome::kResponse));
  BOOST_TEST(IsClosed(target));
  BOOST_TEST(pool.connections() == 0U);
}

// A target sends the response to an earlier request twice, and the copy arrives
// while the next response is awaited. It must not be taken for that response.
BOOST_AUTO_TEST_CASE(Response_DuplicateOfEarlierRequest_IsDiscarded) {
  pool.Send(MakeAttempt("r1"));
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  SendResponse(target, kValidResponse);
  (void)WaitForEnd();
  pool.Send(MakeAttempt("r2"));
  (void)ReadUntil(target, "\r\n\r\n");
  SendResponse(target, kValidResponse);
  SendResponse(
      target,
      "HTTP/1.1 200 OK\r\nReq: r2\r\nStamp: s\r\nContent-Length: 3\r\n\r\nnew");
  BOOST_TEST(WaitForEnd().response.body == "new");
  BOOST_TEST(pool.counters().foreign_responses == 1U);
}

// Guards against a request that runs twice: a late copy of the response that
// said "not executed" is taken for the response to the repeat.
BOOST_AUTO_TEST_CASE(Send_RepeatAfterNotExecuted_UsesAnotherConnection) {
  pool.Send(MakeAttempt("r1"));
  tcp::socket first = Accept();
  (void)ReadUntil(first, "\r\n\r\n");
  SendResponse(first, kNotExecutedResponse);
  BOOST_TEST((WaitForEnd().outcome == AttemptOutcome::kNotExecuted));
  pool.Send(MakeAttempt("r1"));
  tcp::socket second = Accept();
  (void)ReadUntil(second, "\r\n\r\n");
  SendResponse(first, kNotExecutedResponse);
  BOOST_TEST(IsClosed(first));
  SendResponse(second, kValidResponse);
  BOOST_TEST((WaitForEnd().outcome == AttemptOutcome::kResponse));
}

// Guards against the same, with other requests on the connection between.
BOOST_AUTO_TEST_CASE(Send_RepeatAfterOtherRequests_UsesAnotherConnection) {
  pool.Send(MakeAttempt("r1"));
  tcp::socket first = Accept();
  (void)ReadUntil(first, "\r\n\r\n");
  SendResponse(first, kNotExecutedResponse);
  (void)WaitForEnd();
  for (int other = 0; other < 40; ++other) {
    const std::string id = "other" + std::to_string(other);
    pool.Send(MakeAttempt(id));
    (void)ReadUntil(first, "\r\n\r\n");
    SendResponse(first, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nReq: " + id +
                            "\r\n\r\n");
    (void)WaitForEnd();
  }
  pool.Send(MakeAttempt("r1"));
  tcp::socket second = Accept();
  BOOST_TEST(ReadUntil(second, "\r\n\r\n").starts_with("GET /p?q=1"));
}

// Guards against a response that is taken for that of the next request on its
// connection, because it has no id and arrives a second time.
BOOST_AUTO_TEST_CASE(Response_WithoutId_ConnectionIsNotUsedAgain) {
  for (const char* response : {kSuccessWithoutId, kRefusalWithoutId}) {
    pool.Send(MakeAttempt("r1"));
    tcp::socket first = Accept();
    (void)ReadUntil(first, "\r\n\r\n");
    SendResponse(first, response);
    (void)WaitForEnd();
    SystemError ignored;
    asio::write(first, asio::buffer(std::string(response)), ignored);
    pool.Send(MakeAttempt("r2"));
    tcp::socket second = Accept();
    (void)ReadUntil(second, "\r\n\r\n");
    SendResponse(second,
                 "HTTP/1.1 200 OK\r\nReq: r2\r\nContent-Length: 3\r\n"
                 "Connection: close\r\n\r\nnew");
    BOOST_TEST(WaitForEnd().response.body == "new");
    BOOST_TEST(IsClosed(first));
  }
}

// Guards against a request that may run once, runs, and is taken for refused,
// because the refusal of an earlier one has no id and arrives a second time.
BOOST_AUTO_TEST_CASE(Refusal_WithoutId_NextAtMostOnceUsesAnotherConnection) {
  pool.Send(MakeAttempt("r1"));
  tcp::socket first = Accept();
  (void)ReadUntil(first, "\r\n\r\n");
  SendResponse(first, kValidResponse);
  (void)WaitForEnd();
  // The target returns ids, so that a request may follow that is repeatable.
  for (const std::string id : {"r2", "r3"}) {
    pool.Send(MakeAttempt(id));
    (void)ReadUntil(first, "\r\n\r\n");
    SendResponse(first, kRefusalWithoutId);
    BOOST_TEST((WaitForEnd().outcome == AttemptOutcome::kNotExecuted));
  }
  BOOST_TEST(pool.connections() == 1U);
  OutgoingAttempt once = MakeAttempt("r4");
  once.at_most_once = true;
  once.connection_limit = 1;
  pool.Send(once);
  BOOST_TEST(IsClosed(first));
  tcp::socket second = Accept();
  BOOST_TEST(ReadUntil(second, "\r\n\r\n").starts_with("GET /p?q=1"));
}

// Guards against a repeat that is not sent, because the connection that carried
// the request uses up the limit.
BOOST_AUTO_TEST_CASE(Send_RepeatAtConnectionLimit_ReplacesConnection) {
  pool.Send(MakeAttempt("r1"));
  tcp::socket first = Accept();
  (void)ReadUntil(first, "\r\n\r\n");
  SendResponse(first, kNotExecutedResponse);
  (void)WaitForEnd();
  OutgoingAttempt repeat = MakeAttempt("r1");
  repeat.connection_limit = 1;
  pool.Send(repeat);
  BOOST_TEST(IsClosed(first));
  tcp::socket second = Accept();
  BOOST_TEST(ReadUntil(second, "\r\n\r\n").starts_with("GET /p?q=1"));
}

// Guards against a caller that repeats its id and gets the copy of the response
// to its earlier request.
BOOST_AUTO_TEST_CASE(Send_CallerRepeatsItsId_UsesAnotherConnection) {
  pool.Send(MakeAttempt("r1"));
  tcp::socket first = Accept();
  (void)ReadUntil(first, "\r\n\r\n");
  SendResponse(first, kValidResponse);
  (void)WaitForEnd();
  pool.Send(MakeAttempt("r1"));
  tcp::socket second = Accept();
  BOOST_TEST(ReadUntil(second, "\r\n\r\n").starts_with("GET /p?q=1"));
}

// Guards against a HEAD request that waits for a body, because an interim
// response came first.
BOOST_AUTO_TEST_CASE(Response_ToHeadAfterInterimResponse_HasNoBody) {
  auto request = std::make_shared<OpaqueRequest>();
  request->method = "HEAD";
  request->target = "/p";
  request->request_id = "r1";
  OutgoingAttempt attempt = MakeAttempt();
  attempt.request = request;
  pool.Send(attempt);
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  SendResponse(target,
               "HTTP/1.1 100 Continue\r\n\r\n"
               "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 2\r\n\r\n");
  BOOST_TEST((WaitForEnd().outcome == AttemptOutcome::kResponse));
}

// Guards against an attempt that reads until its deadline, or until the memory
// of the host is used up, from a target that sends bytes without end.
BOOST_AUTO_TEST_CASE(Response_WithoutEnd_AttemptBreaksWithinBounds) {
  const std::string filler(8000, 'x');
  const std::vector<EndlessBytes> forms = {
      {"head line", "HTTP/1.1 200 OK\r\nA: ", filler},
      {"head lines", "HTTP/1.1 200 OK\r\n", "A: " + filler + "\r\n"},
      {"no HTTP", "", filler},
      {"body without length", "HTTP/1.1 200 OK\r\nStamp: s\r\n\r\n", filler},
      {"body with length",
       "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", filler},
      {"chunks", kChunkedHead, "1f40\r\n" + filler + "\r\n"},
      {"small chunks", kChunkedHead, "1;e=" + filler + "\r\nx\r\n"},
      {"chunk extension", std::string(kChunkedHead) + "1;e=", filler},
      {"chunk size", std::string(kChunkedHead), std::string(8000, '0')},
      {"trailers", std::string(kChunkedHead) + "0\r\n",
       "A: " + filler + "\r\n"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"foreign responses", "",
       "HTTP/1.1 200 OK\r\nReq: other\r\nContent-Length: 2\r\n\r\nok"}};
  for (const EndlessBytes& form : forms) {
    pool.Send(MakeAttempt());
    tcp::socket target = Accept();
    (void)ReadUntil(target, "\r\n\r\n");
    const std::size_t sent = SendWithoutEnd(target, form);
    const AttemptEnd end = WaitForEnd();
    BOOST_TEST((end.outcome == AttemptOutcome::kBroken), form.name);
    BOOST_TEST(!end.connection_lost, form.name);
    BOOST_TEST(sent < kMaxBytesTaken, form.name << " took " << sent);
    BOOST_TEST(pool.connections() == 0U);
    BOOST_TEST(pool.unfinished_bytes() == 0U);
  }
}

// Guards against a host that runs out of memory, because many targets send
// bytes without end at once.
BOOST_AUTO_TEST_CASE(Responses_WithoutEndOnManyConnections_MemoryIsBounded) {
  constexpr int kConnections = 12;
  std::vector<tcp::socket> targets;
  for (int i = 0; i < kConnections; ++i) {
    OutgoingAttempt attempt = MakeAttempt("r" + std::to_string(i));
    attempt.connection_limit = kConnections;
    pool.Send(attempt);
    targets.push_back(Accept());
    (void)ReadUntil(targets.back(), "\r\n\r\n");
    SendResponse(targets.back(), "HTTP/1.1 200 OK\r\nStamp: s\r\n\r\n");
  }
  const std::string filler(8000, 'x');
  std::uint64_t most = 0;
  RunUntil([&] {
    for (tcp::socket& target : targets) {
      SystemError ignored;
      target.non_blocking(true);
      (void)target.write_some(asio::buffer(filler), ignored);
    }
    most = std::max(most, pool.unfinished_bytes());
    return ends.size() == kConnections;
  });
  BOOST_TEST(most <= kMaxBytesHeld);
  BOOST_TEST(pool.unfinished_bytes() == 0U);
}

// Guards against an idle connection that reads bytes without end.
BOOST_AUTO_TEST_CASE(IdleConnection_BytesWithoutEnd_IsClosed) {
  pool.CheckTarget(MakeAttempt().target, 2, true);
  tcp::socket target = Accept();
  BOOST_TEST((WaitForCheck() == TargetCheck::kReachable));
  const std::size_t sent = SendWithoutEnd(target, {"", "", "x"});
  BOOST_TEST(sent < kMaxBytesTaken);
  BOOST_TEST(pool.connections() == 0U);
}

// Bytes arrive while no request is in progress. The connection is closed, so
// that they are never taken for the next response.
BOOST_AUTO_TEST_CASE(IdleConnection_UnexpectedBytes_IsClosed) {
  pool.Send(MakeAttempt());
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  SendResponse(target, kValidResponse);
  (void)WaitForEnd();
  SendResponse(target, "HTTP/1.1 200 OK\r\n\r\n");
  BOOST_TEST(IsClosed(target));
  BOOST_TEST(pool.connections() == 0U);
}

// A target closes the connection in the middle of a body. The partial body must
// not be taken for a complete response.
BOOST_AUTO_TEST_CASE(Response_Truncated_CountsAsBroken) {
  pool.Send(MakeAttempt());
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  SendResponse(target,
               "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 9\r\n\r\nhalf");
  target.close();
  BOOST_TEST((WaitForEnd().outcome == AttemptOutcome::kBroken));
}

BOOST_AUTO_TEST_CASE(Response_WithoutLength_EndsAtConnectionClose) {
  pool.Send(MakeAttempt());
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  SendResponse(target, "HTTP/1.1 200 OK\r\nStamp: s\r\n\r\nall of it");
  target.shutdown(tcp::socket::shutdown_send);
  BOOST_TEST(WaitForEnd().response.body == "all of it");
}

// A body without a length may be truncated at any point if the connection is
// reset.
BOOST_AUTO_TEST_CASE(Response_WithoutLengthIsReset_CountsAsBroken) {
  pool.Send(MakeAttempt());
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  SendResponse(target, "HTTP/1.1 200 OK\r\nStamp: s\r\n\r\npart");
  loop.restart();
  loop.poll();
  target.set_option(asio::socket_base::linger(true, 0));
  target.close();
  BOOST_TEST((WaitForEnd().outcome == AttemptOutcome::kBroken));
}

BOOST_AUTO_TEST_CASE(Response_NotExecutedHeader_IsReportedAsNotExecuted) {
  pool.Send(MakeAttempt());
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  SendResponse(target,
               "HTTP/1.1 503 x\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  BOOST_TEST((WaitForEnd().outcome == AttemptOutcome::kNotExecuted));
}

BOOST_AUTO_TEST_CASE(Response_Status421_IsReportedAsWrongTarget) {
  pool.Send(MakeAttempt());
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  SendResponse(target, "HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n");
  BOOST_TEST((WaitForEnd().outcome == AttemptOutcome::kWrongTarget));
}

BOOST_AUTO_TEST_CASE(Send_PortIsClosed_IsReportedAsNotSent) {
  OutgoingAttempt attempt = MakeAttempt();
  acceptor.close();
  pool.Send(attempt);
  BOOST_TEST((WaitForEnd().outcome == AttemptOutcome::kNotSent));
}

// All idle connections are too old for a request that must not be sent twice.
// They are closed to make room, and the request is sent over a new connection.
BOOST_AUTO_TEST_CASE(Send_AtMostOnceFindsOldConnections_OpensNewOne) {
  pool.Send(MakeAttempt());
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  SendResponse(target, kValidResponse);
  (void)WaitForEnd();
  clock.Advance(seconds(2));
  OutgoingAttempt non_repeatable = MakeAttempt();
  non_repeatable.at_most_once = true;
  non_repeatable.connection_limit = 1;
  pool.Send(non_repeatable);
  tcp::socket new_connection = Accept();
  (void)ReadUntil(new_connection, "\r\n\r\n");
  SendResponse(new_connection, kValidResponse);
  BOOST_TEST((WaitForEnd().outcome == AttemptOutcome::kResponse));
}

BOOST_AUTO_TEST_CASE(Cancel_AttemptInProgress_ConnectionIsClosed) {
  const OutgoingAttempt attempt = MakeAttempt();
  pool.Send(attempt);
  tcp::socket target = Accept();
  (void)ReadUntil(target, "\r\n\r\n");
  pool.Cancel(attempt.id);
  BOOST_TEST(IsClosed(target));
  BOOST_TEST(ends.empty());
}

BOOST_AUTO_TEST_CASE(Send_ConnectionLimitReached_IsReportedAsNotSent) {
  OutgoingAttempt attempt = MakeAttempt();
  attempt.connection_limit = 1;
  pool.Send(attempt);
  OutgoingAttempt second = MakeAttempt();
  second.connection_limit = 1;
  pool.Send(second);
  const AttemptEnd end = WaitForEnd();
  BOOST_TEST(end.id == second.id);
  BOOST_TEST((end.outcome == AttemptOutcome::kNotSent));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
