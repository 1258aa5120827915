// Tests of responses that end early or are framed wrongly; the test acts as the
// target and ends each response after each of its bytes.
#include <string>
#include <utility>
#include <vector>

#include "jacinthdeck/http/target_pool_fixture.h"

namespace jacinthdeck {

namespace {

//! How the target ends its connection.
enum class Ending { kFin, kReset };

constexpr NameTable<Ending, 2> kEndingNames{{"fin", "reset"}};

struct CutResponse {
  std::string method;
  std::string response;
  AttemptOutcome outcome = AttemptOutcome::kResponse;
  std::string body = {};
  //! The body has no length, so an orderly end at any of its bytes completes
  //! it.
  bool ends_with_connection = false;
};

const std::string ok_head = "HTTP/1.1 200 OK\r\nReq: r1\r\nStamp: s\r\n";
const std::string interim_head = "HTTP/1.1 103 Early\r\nStamp: s\r\n\r\n";

const std::vector<CutResponse> cut_responses = {
    {"GET", ok_head + "Content-Length: 4\r\n\r\nbody", {}, "body"},
    {"GET", ok_head + "Content-Length: 0\r\n\r\n"},
    {"GET", ok_head + "\r\nbody", {}, "body", true},
    {"GET",
     ok_head + "Transfer-Encoding: chunked\r\n\r\n2;e=1\r\nbo\r\n2\r\ndy\r\n"
               "0\r\nT: 1\r\n\r\n",
     {},
     "body"},
    {"HEAD", ok_head + "Content-Length: 4\r\n\r\n"},
    {"HEAD", ok_head + "\r\n"},
    {"GET", interim_head + ok_head + "Content-Length: 2\r\n\r\nok", {}, "ok"},
    {"GET", interim_head + ok_head + "\r\nok", {}, "ok", true},
    {"GET", "HTTP/1.1 204 No Content\r\nStamp: s\r\n\r\n"},
    {"GET", "HTTP/1.1 304 x\r\nStamp: s\r\nContent-Length: 4\r\n\r\n"},
    {"GET", "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\nno",
     AttemptOutcome::kNotExecuted, "no"},
    {"GET", "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n\r\nno",
     AttemptOutcome::kNotExecuted, "no", true},
    {"GET", "HTTP/1.1 421 x\r\nContent-Length: 2\r\n\r\nno",
     AttemptOutcome::kWrongTarget, "no"},
};

struct CutResponseFixture : TargetPoolFixture {
  OutgoingAttempt MakeAttemptOf(const std::string& method) {
    OutgoingAttempt attempt = MakeAttempt();
    auto request = std::make_shared<OpaqueRequest>(*attempt.request);
    request->method = method;
    attempt.request = request;
    return attempt;
  }

  //! An attempt that is still being written when its response arrives.
  OutgoingAttempt MakeLongAttempt() {
    OutgoingAttempt attempt = MakeAttempt();
    auto request = std::make_shared<OpaqueRequest>(*attempt.request);
    request->method = "POST";
    request->has_body = true;
    request->body = std::string(std::size_t{16} << 20U, 'x');
    attempt.request = request;
    return attempt;
  }

  //! Sends an attempt and returns the target's side of its connection, on which
  //! another request was answered before if `kept` is set.
  tcp::socket SendOn(bool kept, const OutgoingAttempt& attempt) {
    pool.Send(kept ? MakeAttempt("r0") : attempt);
    tcp::socket target = Accept();
    (void)ReadUntil(target, "\r\n\r\n");
    if (kept) {
      SendResponse(target,
                   "HTTP/1.1 200 OK\r\nReq: r0\r\nContent-Length: 0\r\n\r\n");
      (void)WaitForEnd();
      pool.Send(attempt);
      (void)ReadUntil(target, "\r\n\r\n");
    }
    target.set_option(tcp::no_delay(true));
    return target;
  }

  //! Sends bytes in two parts, then ends the connection.
  AttemptEnd EndAfter(tcp::socket& target,
                      const std::string& bytes,
                      Ending ending) {
    // The host may have closed the connection after the first part.
    SystemError ignored;
    asio::write(target, asio::buffer(bytes, bytes.size() / 2), ignored);
    loop.restart();
    loop.poll();
    asio::write(target, asio::buffer(bytes) + bytes.size() / 2, ignored);
    target.set_option(asio::socket_base::linger(ending == Ending::kReset, 0));
    target.close();
    AttemptEnd end = WaitForEnd();
    // An idle connection reads the end of its stream.
    RunUntil([&] { return pool.connections() == 0; });
    return end;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CutResponseTest, CutResponseFixture)

// Guards against a part of a response that is taken for a complete one, or for
// a promise that the request did not run.
BOOST_AUTO_TEST_CASE(Response_CutAfterEachByte_CountsAsBroken) {
  for (const CutResponse& form : cut_responses) {
    const std::size_t size = form.response.size();
    const std::size_t first_whole =
        form.ends_with_connection ? size - form.body.size() : size;
    for (std::size_t cut = 0; cut <= size; ++cut) {
      for (const bool kept : {false, true}) {
        for (const Ending ending : {Ending::kFin, Ending::kReset}) {
          tcp::socket target = SendOn(kept, MakeAttemptOf(form.method));
          const AttemptEnd end =
              EndAfter(target, form.response.substr(0, cut), ending);
          const bool whole = cut >= first_whole && (ending == Ending::kFin ||
                                                    !form.ends_with_connection);
          const std::string context = form.response.substr(0, cut) + "|" +
                                      std::string(kEndingNames.Name(ending)) +
                                      (kept ? " kept" : "");
          BOOST_TEST(
              (end.outcome == (whole ? form.outcome : AttemptOutcome::kBroken)),
              context);
          BOOST_TEST(
              end.response.body ==
                  (whole ? form.body.substr(0, form.body.size() + cut - size)
                         : ""),
              context);
        }
      }
    }
  }
}

// Guards against a response whose framing is wrong and that is taken for a
// complete one.
BOOST_AUTO_TEST_CASE(Response_FramedWrongly_CountsAsBroken) {
  const std::vector<std::string> responses = {
      "HTTP/1.1 200 OK\r\n",
      "HTTP/1.1 200 OK\r\n\r",
      "HTTP/1.1 200 OK\n\n",
      "200 OK\r\n\r\n",
      "HTTP/1.1 20\r\n\r\n",
      "HTTP/2.0 200 OK\r\n\r\n",
      ok_head + "No-Colon\r\n\r\nbody",
      ok_head + "No-Colon\r\nContent-Length: 4\r\n\r\nbody",
      ok_head + ": no name\r\n\r\nbody",
      ok_head + "Spaced : 1\r\n\r\nbody",
      ok_head + "Content-Length: 5\r\n\r\nbody",
      ok_head + "Content-Length: 4\r\nContent-Length: 2\r\n\r\nbody",
      ok_head + "Content-Length: 4, 2\r\n\r\nbody",
      ok_head + "Content-Length: \r\n\r\nbody",
      ok_head + "Content-Length: -4\r\n\r\nbody",
      ok_head + "Content-Length: 4x\r\n\r\nbody",
      ok_head + "Content-Length: 18446744073709551620\r\n\r\nbody",
      ok_head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nbody",
      ok_head + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\nbody",
      ok_head + "Transfer-Encoding: chunked\r\n\r\nbody",
      ok_head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbodyX\r\n0\r\n\r\n",
      ok_head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"};
  for (const std::string& response : responses) {
    tcp::socket target = SendOn(false, MakeAttempt());
    const AttemptEnd end = EndAfter(target, response, Ending::kFin);
    BOOST_TEST((end.outcome == AttemptOutcome::kBroken), response);
  }
}

// Guards against a body that takes the bytes behind its length, or leaves them
// to the next response.
BOOST_AUTO_TEST_CASE(Response_LongerThanItsLength_EndsAtLength) {
  tcp::socket target = SendOn(false, MakeAttempt());
  const AttemptEnd end = EndAfter(
      target, ok_head + "Content-Length: 4\r\n\r\nbodyrest", Ending::kFin);
  BOOST_TEST((end.outcome == AttemptOutcome::kResponse));
  BOOST_TEST(end.response.body == "body");
  BOOST_TEST(pool.connections() == 0U);
}

// Guards against a truncated body that counts as whole: the kernel reports a
// reset once, here to the write of the request, and then ends the stream.
BOOST_AUTO_TEST_CASE(Response_ResetWhileRequestIsWritten_CountsAsBroken) {
  const OutgoingAttempt attempt = MakeLongAttempt();
  for (const std::string response :
       {"", "HTTP/1.1 200", ok_head.c_str(), "HTTP/1.1 200 OK\r\n\r\npart"}) {
    tcp::socket target = SendOn(false, attempt);
    const AttemptEnd end = EndAfter(target, response, Ending::kReset);
    BOOST_TEST((end.outcome == AttemptOutcome::kBroken), response);
  }
}

// Guards against an early response that is lost because its request could not
// be written to the end.
BOOST_AUTO_TEST_CASE(Response_EndsWhileRequestIsWritten_IsComplete) {
  tcp::socket target = SendOn(false, MakeLongAttempt());
  SendResponse(target, ok_head + "\r\nwhole");
  target.shutdown(tcp::socket::shutdown_send);
  BOOST_TEST(EndAfter(target, "", Ending::kReset).response.body == "whole");
}

// Guards against a body in a coding that this host doesn't decode and doesn't
// name to the caller either.
BOOST_AUTO_TEST_CASE(Response_TransferEncodingOtherThanChunked_IsBroken) {
  constexpr const char* kBody = "\r\n\r\nbody";
  constexpr const char* kChunks = "\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
  const std::vector<std::pair<const char*, const char*>> codings = {
      {"gzip", kBody},
      {"gzip\r\nContent-Length: 4", kBody},
      {"", kBody},
      {"gzip, chunked", kChunks},
      {"gzip\r\nTransfer-Encoding: chunked", kChunks},
      {"chunked, gzip", kChunks},
      {"chunked, chunked", kChunks},
      {"chunked\r\nTransfer-Encoding: gzip", kChunks},
      {"xchunked", kChunks}};
  for (const auto& [coding, rest] : codings) {
    std::string response = ok_head;
    response += "Transfer-Encoding: ";
    response += coding;
    response += rest;
    tcp::socket target = SendOn(false, MakeAttempt());
    const AttemptEnd end = EndAfter(target, response, Ending::kFin);
    BOOST_TEST((end.outcome == AttemptOutcome::kBroken), response);
  }
}

// Guards against a status that is none of HTTP and that reaches the caller.
BOOST_AUTO_TEST_CASE(Response_StatusBelow100_IsBroken) {
  for (const std::string response :
       {"HTTP/1.1 099 x\r\nStamp: s\r\n\r\nbody", "HTTP/1.1 000 x\r\n\r\n",
        "HTTP/1.1 020 x\r\nContent-Length: 2\r\n\r\nok"}) {
    tcp::socket target = SendOn(false, MakeAttempt());
    const AttemptEnd end = EndAfter(target, response, Ending::kFin);
    BOOST_TEST((end.outcome == AttemptOutcome::kBroken), response);
  }
}

// Guards against a head that stops within a value and is completed by the
// response to another request.
BOOST_AUTO_TEST_CASE(Response_HeadContinuesWithForeignResponse_IsBroken) {
  const std::string begin = "HTTP/1.1 200 OK\r\n";
  const std::string end = "Stamp: f\r\nContent-Length: 4\r\n\r\nbody";
  const std::size_t value = ok_head.find("Stamp:");
  const std::string with_id = begin + "Req: r0\r\n" + end;
  const std::string without_id = begin + end;
  for (const std::string& foreign : {with_id, without_id}) {
    // One without an id is known only by the two stamps.
    for (std::size_t cut = foreign.find("Req") == foreign.npos ? value : 0;
         cut <= ok_head.size(); ++cut) {
      tcp::socket target = SendOn(false, MakeAttempt());
      const AttemptEnd broken =
          EndAfter(target, ok_head.substr(0, cut) + foreign, Ending::kFin);
      BOOST_TEST((broken.outcome == AttemptOutcome::kBroken), cut << foreign);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
