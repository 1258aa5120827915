// Tests of the peer connections over loopback, with ports picked by the kernel.
#include "jacinthdeck/peer/peer_transport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

namespace jacinthdeck {

//! Collects received envelopes and lets a test wait for them without a fixed
//! delay.
class Inbox {
 public:
  bool Add(Envelope&& envelope) {
    const std::scoped_lock lock(m_mutex);
    m_envelopes.push_back(std::move(envelope));
    m_filled.notify_all();
    return true;
  }

  std::vector<Envelope> WaitFor(
      std::size_t count,
      std::chrono::milliseconds longest = std::chrono::seconds(20)) {
    std::unique_lock lock(m_mutex);
    m_filled.wait_for(lock, longest,
                      [&] { return m_envelopes.size() >= count; });
    return m_envelopes;
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_filled;
  std::vector<Envelope> m_envelopes;
};

struct PeerTransportFixture {
  static PeerTransport Started(Inbox& inbox) {
    auto started = Capture([&] {
      return PeerTransport::Start("127.0.0.1", 0, [&inbox](Envelope&& e) {
        return inbox.Add(std::move(e));
      });
    });
    BOOST_REQUIRE(started.index() == 0);
    return std::move(std::get<0>(started));
  }

  PeerSend SendTo(const PeerTransport& transport,
                  std::uint64_t sequence) const {
    return PeerSend{
        MemberAddress{"127.0.0.1", transport.port(), 0},
        Envelope{
            NodeId("a"), Incarnation(1), NodeId("b"), Ping{sequence}, {}, {}}};
  }

  Inbox inbox;
};

BOOST_FIXTURE_TEST_SUITE(PeerTransportTest, PeerTransportFixture)

BOOST_AUTO_TEST_CASE(Transport_ManyEnvelopes_ArriveInOrder) {
  PeerTransport receiver = Started(inbox);
  Inbox unused;
  PeerTransport sender = Started(unused);
  for (std::uint64_t i = 0; i < 100; ++i) {
    sender.Send(SendTo(receiver, i));
  }
  const std::vector<Envelope> received = inbox.WaitFor(100);
  BOOST_REQUIRE(received.size() == 100U);
  for (std::uint64_t i = 0; i < 100; ++i) {
    BOOST_TEST((received[i].message == PeerMessage(Ping{i})));
  }
}

// A peer restarts on the same address: messages sent while it was away are
// lost, which the protocol allows, but those sent after its return must arrive
// over a new connection.
BOOST_AUTO_TEST_CASE(Transport_PeerRestarts_ReachesItsNewLife) {
  Inbox unused;
  PeerTransport sender = Started(unused);
  std::uint16_t port = 0;
  {
    PeerTransport first = Started(inbox);
    port = first.port();
    sender.Send(SendTo(first, 1));
    BOOST_REQUIRE(inbox.WaitFor(1).size() == 1U);
  }
  Inbox second_inbox;
  auto second = Capture([&] {
    return PeerTransport::Start("127.0.0.1", port, [&](Envelope&& e) {
      return second_inbox.Add(std::move(e));
    });
  });
  BOOST_REQUIRE(second.index() == 0);
  PeerTransport& receiver = std::get<0>(second);
  // What is sent before the old connection's end is seen goes nowhere, so
  // sending goes on until something arrives.
  for (std::uint64_t i = 0;
       i < 2000 &&
       second_inbox.WaitFor(1, std::chrono::milliseconds(10)).empty();
       ++i) {
    sender.Send(SendTo(receiver, i));
  }
  BOOST_TEST(!second_inbox.WaitFor(1).empty());
}

// Something that is not a peer connects and sends a length of four gigabytes.
// The connection must be closed, no memory taken for it, and real peers must
// still be heard.
BOOST_AUTO_TEST_CASE(Transport_OversizedFrame_ClosesThatConnectionOnly) {
  PeerTransport receiver = Started(inbox);
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket(io);
  socket.connect(
      {boost::asio::ip::make_address_v4("127.0.0.1"), receiver.port()});
  boost::asio::write(socket,
                     boost::asio::buffer(std::string("\xff\xff\xff\xff", 4)));
  boost::system::error_code error;
  char byte = 0;
  socket.read_some(boost::asio::buffer(&byte, 1), error);
  BOOST_TEST((error == boost::asio::error::eof ||
              error == boost::asio::error::connection_reset));
  Inbox unused;
  PeerTransport sender = Started(unused);
  sender.Send(SendTo(receiver, 1));
  BOOST_TEST(inbox.WaitFor(1).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
