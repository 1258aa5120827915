// Tests of the connection to the store; the test acts as the store on a raw
// socket.
#include "jacinthdeck/http/client_session.h"

#include <memory>
#include <string>
#include <vector>

#include "jacinthdeck/http/loop_fixture.h"

namespace jacinthdeck {

namespace {

const std::string reply_head = "HTTP/1.1 200 OK\r\nEra: 1\r\n";

struct ClientSessionFixture : EventLoopFixture {
  tcp::acceptor acceptor{loop,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  tcp::socket store{loop};
  std::optional<ClientReply> reply;

  //! More handlers than a call has until a part of its reply was read.
  static constexpr int kHandlersOfCall = 6;
  //! The limit on the body of a response, and as much for what the buffers of
  //! the sockets hold.
  static constexpr std::size_t kMostBytesTaken = std::size_t{32} << 20U;

  //! Starts a call whose connection has part of a reply before the session
  //! reads, and runs a number of its handlers.
  void StartCall(ClientSession& session, int handlers) {
    session.Call({"GET", "/k", ""}, kTestTimeout,
                 [this](const ClientReply& ended) { reply = ended; });
    store = acceptor.accept();
    asio::write(store, asio::buffer(reply_head + "Content-Length: 3\r\n\r\no"));
    loop.restart();
    for (int run = 0; run < handlers; ++run) {
      (void)loop.poll_one();
    }
  }

  //! Makes a call and lets the store read it.
  void Call(ClientSession& session, bool accept) {
    reply.reset();
    session.Call({"GET", "/k", ""}, kTestTimeout,
                 [this](const ClientReply& ended) { reply = ended; });
    if (accept) {
      bool accepted = false;
      store = tcp::socket(loop);
      acceptor.async_accept(
          store, [&](const SystemError& error) { accepted = !error; });
      RunUntil([&] { return accepted; });
    }
    (void)ReadUntil(store, "\r\n\r\n");
  }

  ClientReply Answer(const std::string& bytes) {
    asio::write(store, asio::buffer(bytes));
    RunUntil([&] { return reply.has_value(); });
    return *reply;
  }

  ClientReply AnswerAndClose(const std::string& bytes, bool reset) {
    asio::write(store, asio::buffer(bytes));
    store.set_option(asio::socket_base::linger(reset, 0));
    store.close();
    RunUntil([&] { return reply.has_value(); });
    return *reply;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ClientSessionTest, ClientSessionFixture)

// Guards against a part of a reply that is taken for a complete one, or for a
// call that was not sent.
BOOST_AUTO_TEST_CASE(Reply_CutAfterEachByte_IsNoReply) {
  for (const std::string& form :
       {reply_head + "Content-Length: 4\r\n\r\nbody",
        reply_head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        reply_head + "\r\nbody"}) {
    const std::size_t header_bytes = form.find("\r\n\r\n") + 4;
    const bool has_length = header_bytes != reply_head.size() + 2;
    for (std::size_t cut = 0; cut <= form.size(); ++cut) {
      for (const bool kept : {false, true}) {
        for (const bool reset : {false, true}) {
          ClientSession session(loop, "127.0.0.1",
                                acceptor.local_endpoint().port());
          Call(session, true);
          if (kept) {
            (void)Answer(reply_head + "Content-Length: 0\r\n\r\n");
            Call(session, false);
          }
          const ClientReply end = AnswerAndClose(form.substr(0, cut), reset);
          const bool whole =
              has_length ? cut == form.size() : cut >= header_bytes && !reset;
          BOOST_TEST(end.answered() == whole, form.substr(0, cut) << reset);
          BOOST_TEST(!end.not_sent);
        }
      }
    }
  }
}

// Guards against bytes behind a reply that are taken for the reply to the next
// call.
BOOST_AUTO_TEST_CASE(Reply_BytesFollow_NextCallUsesNewConnection) {
  ClientSession session(loop, "127.0.0.1", acceptor.local_endpoint().port());
  Call(session, true);
  const std::string first = reply_head + "Content-Length: 3\r\n\r\none";
  BOOST_TEST(Answer(first + reply_head + "Content-Length: 0\r\n\r\n").body ==
             "one");
  Call(session, true);
  BOOST_TEST(Answer(reply_head + "Content-Length: 3\r\n\r\ntwo").body == "two");
}

// Guards against an interim response that is taken for the reply, which then
// becomes the reply to the next call.
BOOST_AUTO_TEST_CASE(Reply_InterimResponseComesFirst_IsSkipped) {
  ClientSession session(loop, "127.0.0.1", acceptor.local_endpoint().port());
  Call(session, true);
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  BOOST_TEST(
      Answer(interim + reply_head + "Content-Length: 3\r\n\r\none").body ==
      "one");
}

// Guards against bytes of a faulty server that are kept until the process has
// no memory left.
BOOST_AUTO_TEST_CASE(Reply_WithoutEnd_IsRefusedAtLimit) {
  constexpr std::size_t kBytesOfWrite = std::size_t{64} << 10U;
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "400\r\n" + std::string(0x400, 'x') + "\r\n";
  const std::vector<EndlessBytes> forms = {
      {"no HTTP", "abc", "x"},
      {"status line", "HTTP/1.1 200 ", "x"},
      {"name of a header", reply_head, "x"},
      {"value of a header", reply_head + "a: ", "x"},
      {"headers", reply_head, "a: b\r\n"},
      {"headers of an interim response", "HTTP/1.1 100 A\r\n", "a: b\r\n"},
      {"body until the close", reply_head + "\r\n", "x"},
      {"body of a length", reply_head + "Content-Length: 99999999999\r\n\r\n",
       "x"},
      {"chunks", reply_head + chunked, chunk},
      {"length of a chunk", reply_head + chunked, "0"},
      {"extension of a chunk", reply_head + chunked + "5;", "x"},
      {"extensions of a later chunk", reply_head + chunked + chunk + "5",
       ";x=y"},
      {"data of a chunk", reply_head + chunked + "fffffffff\r\n", "x"},
      {"trailer", reply_head + chunked + chunk + "0\r\n", "x"},
      {"trailers", reply_head + chunked + chunk + "0\r\n", "a: b\r\n"},
  };
  for (const EndlessBytes& form : forms) {
    EndlessBytes bytes{form.name, form.begin, ""};
    while (bytes.repeated.size() < kBytesOfWrite) {
      bytes.repeated += form.repeated;
    }
    ClientSession session(loop, "127.0.0.1", acceptor.local_endpoint().port());
    Call(session, true);
    const std::size_t taken = SendWithoutEnd(store, bytes);
    BOOST_TEST(taken < kMostBytesTaken, form.name << " took " << taken);
    BOOST_TEST((reply.has_value() && !reply->answered()), form.name);
  }
}

// Guards against a limit on unparsed bytes that refuses a page of the store.
BOOST_AUTO_TEST_CASE(Reply_LargestBody_IsRead) {
  const std::string body(std::size_t{16} << 20U, 'x');
  const std::vector<std::string> forms = {
      reply_head + "Content-Length: 16777216\r\n\r\n" + body,
      reply_head + "Transfer-Encoding: chunked\r\n\r\n1000000\r\n" + body +
          "\r\n0\r\n\r\n"};
  for (const std::string& form : forms) {
    ClientSession session(loop, "127.0.0.1", acceptor.local_endpoint().port());
    Call(session, true);
    asio::async_write(store, asio::buffer(form),
                      [](const SystemError&, std::size_t) {});
    RunUntil([&] { return reply.has_value(); });
    BOOST_TEST(reply->error == "");
    BOOST_TEST(reply->body.size() == body.size());
  }
}

// Guards against the read of an aborted call that takes bytes from the next
// call's connection, or uses its freed parser.
BOOST_AUTO_TEST_CASE(Call_AbortedAfterAnyHandler_NextCallGetsItsReply) {
  for (int handlers = 0; handlers <= kHandlersOfCall; ++handlers) {
    ClientSession session(loop, "127.0.0.1", acceptor.local_endpoint().port());
    StartCall(session, handlers);
    session.Abort();
    Call(session, true);
    const ClientReply end = Answer(reply_head + "Content-Length: 3\r\n\r\ntwo");
    BOOST_TEST(end.body == "two", handlers << " " << end.error);
  }
}

// Guards against the reply of one call that is taken for that of another: a
// second call shared the connection of the first.
BOOST_AUTO_TEST_CASE(Call_EarlierOneIsInProgress_EarlierIsAborted) {
  ClientSession session(loop, "127.0.0.1", acceptor.local_endpoint().port());
  StartCall(session, kHandlersOfCall);
  Call(session, true);
  const ClientReply end = Answer(reply_head + "Content-Length: 3\r\n\r\ntwo");
  BOOST_TEST(end.body == "two", end.error);
}

// Guards against a handler that uses the memory of a session that was destroyed
// during a call.
BOOST_AUTO_TEST_CASE(Session_DestroyedAfterAnyHandler_HandlersEnd) {
  for (int handlers = 0; handlers <= kHandlersOfCall; ++handlers) {
    auto session = std::make_unique<ClientSession>(
        loop, "127.0.0.1", acceptor.local_endpoint().port());
    StartCall(*session, handlers);
    session.reset();
    loop.restart();
    loop.run();
    BOOST_TEST(!reply.has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
