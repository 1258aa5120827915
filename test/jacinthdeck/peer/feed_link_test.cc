// Tests of a follower's connection; the test acts as the feeder on a raw
// socket.
#include "jacinthdeck/peer/feed_link.h"

#include <string>

#include "jacinthdeck/http/loop_fixture.h"
#include "support/positions.h"

namespace jacinthdeck {

namespace {

struct FeedLinkFixture : EventLoopFixture, FeedLinkSink {
  //! Twice the largest reply of the store, of which a message holds one at
  //! most.
  static constexpr std::size_t kMostBytesTaken = std::size_t{32} << 20U;

  FeedLink link{loop, *this};
  int lost = 0;

  //! Acts as a feeder that sends bytes without end; returns how many were
  //! taken.
  std::size_t FeedWithoutEnd(const std::string& begin,
                             const std::string& bytes) {
    tcp::acceptor acceptor(loop,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    link.Open({"127.0.0.1", acceptor.local_endpoint().port()},
              {HostId("host-1"), At(1), ""});
    tcp::socket feeder = acceptor.accept();
    return SendWithoutEnd(feeder, {"", begin, bytes});
  }

  void OnFeedChanges(const FeedChanges& /*changes*/) override {}
  void OnFeedPart() override {}
  void OnFeedHeartbeat(const FeedHeartbeat& /*heartbeat*/) override {}
  void OnFeedLost(const std::string& /*problem*/) override { ++lost; }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(FeedLinkTest, FeedLinkFixture)

// Guards against bytes that are no message of a host, which a host keeps until
// it has no memory left.
BOOST_AUTO_TEST_CASE(Bytes_WithoutEnd_AreRefusedAtLimit) {
  const std::string filler(65536, 'x');
  const std::string headers = "HTTP/1.1 200 OK\r\n";
  for (const std::string& begin :
       {filler, headers, std::string(4, '\0'), std::string("\0\0\0\4", 4),
        std::string("\0\0\0\3", 4), std::string("\xff\xff\xff\0", 4)}) {
    lost = 0;
    const std::size_t taken = FeedWithoutEnd(begin, filler);
    BOOST_TEST(lost == 1);
    BOOST_TEST(taken < kMostBytesTaken);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
