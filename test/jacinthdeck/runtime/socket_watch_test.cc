// Tests of waiting for sockets and wakes.
#include "jacinthdeck/runtime/socket_watch.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>

namespace jacinthdeck::internal {

struct SocketWatchFixture {
  SocketWatchFixture() {
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, pair.data()) == 0);
  }
  ~SocketWatchFixture() {
    close(pair[0]);
    close(pair[1]);
  }

  static constexpr std::chrono::microseconds kNow{0};
  static constexpr std::chrono::seconds kLong{20};
  std::array<int, 2> pair{};
  SocketWatch watch;
};

BOOST_FIXTURE_TEST_SUITE(SocketWatchTest, SocketWatchFixture)

BOOST_AUTO_TEST_CASE(Watch_SocketBecomesReadable_IsReported) {
  watch.Watch(pair[0], true, false);
  BOOST_TEST(watch.Wait(kNow).empty());
  BOOST_REQUIRE(write(pair[1], "x", 1) == 1);
  const auto events = watch.Wait(kLong);
  BOOST_REQUIRE(events.size() == 1U);
  BOOST_TEST(events[0].socket == pair[0]);
  BOOST_TEST(events[0].readable);
  BOOST_TEST(!events[0].writable);
  watch.Watch(pair[0], true, true);
  BOOST_TEST(watch.Wait(kLong)[0].writable);
  watch.Forget(pair[0]);
  BOOST_TEST(watch.Wait(kNow).empty());
}

// A command comes between the transport's look at its ring and its wait. A wake
// that was only seen by a thread already waiting would be lost, and the attempt
// would start late.
BOOST_AUTO_TEST_CASE(Watch_WokenBeforeItWaits_DoesNotWait) {
  watch.Wake();
  BOOST_TEST(watch.Wait(kLong).empty());
}

BOOST_AUTO_TEST_CASE(Watch_PeerCloses_IsReported) {
  watch.Watch(pair[0], true, false);
  shutdown(pair[1], SHUT_RDWR);
  const auto events = watch.Wait(kLong);
  BOOST_REQUIRE(events.size() == 1U);
  BOOST_TEST(events[0].readable);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::internal
