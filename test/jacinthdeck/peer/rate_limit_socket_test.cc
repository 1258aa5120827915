// Tests of the datagram socket over loopback, with ports that the kernel picks.
#include "jacinthdeck/peer/rate_limit_socket.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace jacinthdeck {

namespace {

struct SocketFixture : RateLimitSocketSink {
  asio::io_context loop;
  RateLimitSocket first{loop, *this};
  RateLimitSocket second{loop, *this};
  std::vector<std::string> received;
  std::vector<udp::endpoint> senders;

  SocketFixture() {
    for (RateLimitSocket* socket : {&first, &second}) {
      BOOST_REQUIRE(Opens(*socket, {"127.0.0.1", 0}));
    }
  }

  void OnDatagram(std::string_view bytes, const udp::endpoint& from) override {
    received.emplace_back(bytes);
    senders.push_back(from);
  }

  static bool Opens(RateLimitSocket& socket, const Endpoint& endpoint) {
    return Capture([&]() -> Result<bool> {
             BOOST_LEAF_CHECK(socket.Listen(endpoint));
             return true;
           }).index() == 0;
  }

  static udp::endpoint AddressOf(const RateLimitSocket& socket) {
    return {asio::ip::address_v4::loopback(), socket.port()};
  }

  //! Runs the loop until a number of datagrams has arrived.
  void RunUntil(std::size_t count) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (received.size() < count && std::chrono::steady_clock::now() < end) {
      loop.run_one_for(std::chrono::milliseconds(50));
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(RateLimitSocketTest, SocketFixture)

BOOST_AUTO_TEST_CASE(Datagrams_MoreThanOneBatch_ArriveWithSender) {
  for (int index = 0; index < 150; ++index) {
    first.Send(AddressOf(second), "m" + std::to_string(index));
  }
  RunUntil(150);
  BOOST_REQUIRE_EQUAL(received.size(), 150U);
  BOOST_TEST(received[149] == "m149");
  BOOST_TEST((senders[0] == AddressOf(first)));
  BOOST_TEST(first.counters().sent == 150U);
  BOOST_TEST(second.counters().received == 150U);
  BOOST_TEST(second.counters().received_bytes == first.counters().sent_bytes);
}

BOOST_AUTO_TEST_CASE(Datagram_TooLarge_IsNotSentAndDroppedOnArrival) {
  const std::string large(kMaxRateDatagramBytes + 1, 'x');
  first.Send(AddressOf(second), large);
  BOOST_TEST(first.counters().send_drops == 1U);
  udp::socket foreign(loop, udp::v4());
  foreign.send_to(asio::buffer(large + large), AddressOf(second));
  first.Send(AddressOf(second), large.substr(1));
  RunUntil(1);
  BOOST_REQUIRE_EQUAL(received.size(), 1U);
  BOOST_TEST(received[0].size() == kMaxRateDatagramBytes);
  BOOST_TEST(second.counters().oversized == 1U);
}

// Guards against a socket that stops receiving because a host that it had sent
// to is gone: the system then reports an error on the next call.
BOOST_AUTO_TEST_CASE(Peer_IsGone_SocketStillReceives) {
  const udp::endpoint gone = AddressOf(second);
  second.Close();
  BOOST_TEST(!second.is_open());
  for (int index = 0; index < 3; ++index) {
    first.Send(gone, "x");
    loop.run_one_for(std::chrono::milliseconds(20));
  }
  udp::socket other(loop, udp::v4());
  other.send_to(asio::buffer(std::string("y")), AddressOf(first));
  RunUntil(1);
  BOOST_TEST(received == std::vector<std::string>{"y"});
}

BOOST_AUTO_TEST_CASE(Listen_PortIsTaken_IsError) {
  RateLimitSocket third(loop, *this);
  BOOST_TEST(!Opens(third, {"127.0.0.1", first.port()}));
  BOOST_TEST(!third.is_open());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
