// Tests of the target transport against small servers on loopback.
#include "jacinthdeck/runtime/target_transport.h"

#include <sys/socket.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "jacinthdeck/core/steady_clock.h"

namespace jacinthdeck {

/*! \brief A target that handles each connection as a script tells. */
class ScriptedTarget {
 public:
  using Tcp = boost::asio::ip::tcp;
  //! What to do with the request of that number on a connection; false closes
  //! it.
  using Script = std::function<bool(Tcp::socket& socket, int request)>;

  explicit ScriptedTarget(Script script)
      : m_acceptor(
            m_io,
            Tcp::endpoint(boost::asio::ip::make_address_v4("127.0.0.1"), 0)),
        m_script(std::move(script)),
        m_thread([this] { Accept(); }) {}

  ~ScriptedTarget() {
    m_stop = true;
    // A connection of our own ends the wait of accept().
    boost::asio::io_context io;
    Tcp::socket waker(io);
    boost::system::error_code ignored;
    waker.connect({boost::asio::ip::make_address_v4("127.0.0.1"), port()},
                  ignored);
    m_thread.join();
    for (Connection& connection : m_open) {
      ::shutdown(connection.socket->native_handle(), SHUT_RDWR);
      connection.thread.join();
    }
  }

  [[nodiscard]] std::uint16_t port() const {
    return m_acceptor.local_endpoint().port();
  }
  [[nodiscard]] int requests() const { return m_requests; }
  [[nodiscard]] int connections() const { return m_connections; }

  static void Reply(Tcp::socket& socket,
                    const std::string& status,
                    const std::string& body) {
    boost::system::error_code ignored;
    boost::asio::write(
        socket,
        boost::asio::buffer("HTTP/1.1 " + status + "\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body),
        ignored);
  }

 private:
  struct Connection {
    std::unique_ptr<Tcp::socket> socket;
    std::thread thread;
  };

  void Accept() {
    while (true) {
      auto socket = std::make_unique<Tcp::socket>(m_io);
      boost::system::error_code error;
      m_acceptor.accept(*socket, error);
      if (m_stop) {
        return;
      }
      ++m_connections;
      Tcp::socket& accepted = *socket;
      m_open.push_back(
          Connection{std::move(socket),
                     std::thread([this, &accepted] { Serve(accepted); })});
    }
  }

  void Serve(Tcp::socket& socket) {
    for (int request = 0; Read(socket); ++request) {
      ++m_requests;
      if (!m_script(socket, request)) {
        break;
      }
    }
    boost::system::error_code ignored;
    socket.shutdown(Tcp::socket::shutdown_both, ignored);
  }

  //! Reads one request, head and body.
  static bool Read(Tcp::socket& socket) {
    boost::system::error_code error;
    std::string text;
    const std::size_t head = boost::asio::read_until(
        socket, boost::asio::dynamic_buffer(text), "\r\n\r\n", error);
    const std::size_t at = text.find("Content-Length: ");
    if (error || at == text.npos) {
      return false;
    }
    const std::size_t length = std::stoul(text.substr(at + 16));
    const std::size_t missing =
        head + length - std::min(text.size(), head + length);
    boost::asio::read(socket, boost::asio::dynamic_buffer(text),
                      boost::asio::transfer_exactly(missing), error);
    return !error;
  }

  boost::asio::io_context m_io;
  Tcp::acceptor m_acceptor;
  Script m_script;
  std::atomic<bool> m_stop = false;
  std::atomic<int> m_requests = 0;
  std::atomic<int> m_connections = 0;
  //! Filled by the accepting thread, emptied once that has ended.
  std::vector<Connection> m_open;
  std::thread m_thread;
};

struct TargetTransportFixture {
  static constexpr const char* kGood =
      R"({"version":7,"range":[0,10],"hits":[{"id":"a","score":1.5,"data":{"k":1}}],"count":1,"load":0.5})";

  TargetSend MakeSend(std::uint64_t attempt,
                      std::uint16_t port,
                      Repeat repeat) const {
    Method method;
    method.name = "M";
    method.repeat = repeat;
    TargetSend send;
    send.attempt.attempt = AttemptId(attempt);
    send.attempt.method = std::make_shared<const Method>(method);
    send.attempt.body = std::make_shared<const std::string>("{}");
    send.attempt.range = KeyRange{0, 10};
    send.attempt.version = IndexVersion(7);
    send.attempt.deadline = clock.Now() + std::chrono::seconds(20);
    send.endpoint = Endpoint{"127.0.0.1", port};
    send.connections = limit;
    return send;
  }

  //! Sends one attempt and waits for its end.
  AttemptReply Ask(std::uint16_t port, Repeat repeat) {
    const std::uint64_t attempt = ++next_attempt;
    BOOST_REQUIRE(transport.TryPush(MakeSend(attempt, port, repeat)));
    std::unique_lock lock(mutex);
    BOOST_REQUIRE(ended.wait_for(lock, std::chrono::seconds(30),
                                 [&] { return replies.size() >= attempt; }));
    return replies.back();
  }

  std::uint32_t limit = 4;
  SteadyClock clock;
  std::mutex mutex;
  std::condition_variable ended;
  std::vector<AttemptReply> replies;
  std::uint64_t next_attempt = 0;
  TargetTransport transport{clock, 64, [this](AttemptReply& reply) {
                              const std::scoped_lock lock(mutex);
                              replies.push_back(std::move(reply));
                              ended.notify_all();
                              return true;
                            }};
};

BOOST_FIXTURE_TEST_SUITE(TargetTransportTest, TargetTransportFixture)

BOOST_AUTO_TEST_CASE(Transport_Answers_AreReadWholeOverOneConnection) {
  ScriptedTarget target([](auto& socket, int) {
    ScriptedTarget::Reply(socket, "200 OK", kGood);
    return true;
  });
  for (int i = 0; i < 20; ++i) {
    const AttemptReply reply = Ask(target.port(), Repeat::kIdempotent);
    BOOST_REQUIRE((reply.status == AttemptStatus::kAnswered));
    BOOST_TEST((reply.range == KeyRange{0, 10}));
    BOOST_TEST((reply.hits == std::vector<Hit>{Hit{"a", 1.5, R"({"k":1})"}}));
  }
  BOOST_TEST(target.connections() == 1);
}

BOOST_AUTO_TEST_CASE(Transport_Refusals_KeepTheirKind) {
  int number = 0;
  const std::vector<std::string> statuses{"409 x", "410 x",  "503 x",
                                          "500 x", "200 OK", "302 x"};
  ScriptedTarget target([&](auto& socket, int) {
    ScriptedTarget::Reply(socket, statuses[static_cast<std::size_t>(number++)],
                          R"({"error":"draining"})");
    return true;
  });
  BOOST_TEST((Ask(target.port(), Repeat::kIdempotent).status ==
              AttemptStatus::kWrongRange));
  BOOST_TEST((Ask(target.port(), Repeat::kIdempotent).status ==
              AttemptStatus::kVersionGone));
  const AttemptReply shed = Ask(target.port(), Repeat::kIdempotent);
  BOOST_TEST((shed.status == AttemptStatus::kShed));
  BOOST_TEST(shed.draining);
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST((Ask(target.port(), Repeat::kIdempotent).status ==
                AttemptStatus::kFailed));
  }
}

BOOST_AUTO_TEST_CASE(Transport_NobodyListens_ProvesNotSent) {
  std::uint16_t port = 0;
  {
    ScriptedTarget target([](auto&, int) { return false; });
    port = target.port();
  }
  BOOST_TEST((Ask(port, Repeat::kOnce).status == AttemptStatus::kNotSent));
}

// The target reads each request and closes without an answer; it may have run.
// The end must say "lost", never "not sent".
BOOST_AUTO_TEST_CASE(Transport_ConnectionDiesAfterTheRequest_SaysLost) {
  ScriptedTarget target([](auto&, int) { return false; });
  BOOST_TEST(
      (Ask(target.port(), Repeat::kOnce).status == AttemptStatus::kLost));
  BOOST_TEST(target.requests() == 1);
}

// A target answers the first request of each connection, reads the second and
// closes: what a kept connection looks like when a target closes idle
// connections, or dies, under load. libcurl then sends the second request again
// on a new connection by itself. For a claim that would be a second run, so
// that each claim must arrive once and end as answered or lost.
BOOST_AUTO_TEST_CASE(OnceRequest_KeptConnectionsDieUnderIt_ArrivesOnce) {
  ScriptedTarget target([](auto& socket, int request) {
    if (request > 0) {
      return false;
    }
    ScriptedTarget::Reply(socket, "200 OK", kGood);
    return true;
  });
  BOOST_TEST((Ask(target.port(), Repeat::kIdempotent).status ==
              AttemptStatus::kAnswered));
  BOOST_TEST((Ask(target.port(), Repeat::kIdempotent).status ==
              AttemptStatus::kAnswered));
  // The proof that the target is the trap that it should be: two idempotent
  // calls, three requests.
  BOOST_TEST(target.requests() == 3);
  // A connection is kept again; claims must not use it, nor each other's.
  for (int claims = 1; claims <= 3; ++claims) {
    BOOST_TEST(
        (Ask(target.port(), Repeat::kOnce).status == AttemptStatus::kAnswered));
    BOOST_TEST(target.requests() == 3 + claims);
  }
}

// The router holds this entry's share, but a fresh connection beside kept ones
// could still pass the target's limit. The transport must not open it, and must
// say that nothing was sent.
BOOST_AUTO_TEST_CASE(Transport_AtItsConnectionLimit_OpensNoMore) {
  ScriptedTarget target([](auto& socket, int) {
    ScriptedTarget::Reply(socket, "200 OK", kGood);
    return true;
  });
  limit = 1;
  BOOST_TEST((Ask(target.port(), Repeat::kIdempotent).status ==
              AttemptStatus::kAnswered));
  BOOST_TEST(
      (Ask(target.port(), Repeat::kOnce).status == AttemptStatus::kNotSent));
  BOOST_TEST((Ask(target.port(), Repeat::kIdempotent).status ==
              AttemptStatus::kAnswered));
  BOOST_TEST(target.connections() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
