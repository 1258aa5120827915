// Tests of what a follower is sent, over loopback sockets.
#include "jacinthdeck/peer/feed_server.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "jacinthdeck/peer/feed_link.h"
#include "support/printers.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

struct FixedSource final : FeedSource {
  [[nodiscard]] FeedChanges Content() const override {
    return {7, true, {{"servers/a", 7, "{}"}}};
  }
  [[nodiscard]] FeedBeat Beat() const override {
    return {7, milliseconds(10), false};
  }
};

struct ServerFixture : FeedLinkSink {
  asio::io_context loop;
  FixedSource source;
  FeedServer server{loop, source};
  FeedLink link{loop, *this};
  int contents = 0;
  int beats = 0;

  void OnFeedChanges(const FeedChanges& /*changes*/) override { ++contents; }
  void OnFeedBeat(const FeedBeat& /*beat*/) override { ++beats; }
  void OnFeedLost(const std::string& problem) override {
    BOOST_FAIL("link lost: " + problem);
  }

  //! Follows until the first beat, which comes after the content.
  void Follow(std::uint64_t known_revision) {
    BOOST_REQUIRE(static_cast<bool>(server.Listen("127.0.0.1", 0)));
    link.Open({"127.0.0.1", server.port()}, {NodeId("h1"), known_revision});
    while (beats == 0) {
      loop.run_one();
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(FeedServerTest, ServerFixture)

BOOST_AUTO_TEST_CASE(Follower_KnowsLess_GetsTheContent) {
  Follow(6);
  BOOST_TEST(contents == 1);
}

// While the store is away, dozens of followers ask one feeder after the other
// for something newer. The content is not sent each time: it would fill the
// feeder's link and hold up its callers.
BOOST_AUTO_TEST_CASE(Follower_KnowsAsMuch_GetsOnlyTheAge) {
  Follow(7);
  BOOST_TEST(contents == 0);
  BOOST_TEST(beats == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
