// Tests of what a follower is sent, over loopback sockets.
#include "jacinthdeck/peer/feed_server.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <string>

#include "jacinthdeck/core/random.h"
#include "jacinthdeck/peer/feed_link.h"
#include "support/positions.h"
#include "support/printers.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

struct FixedSource final : FeedSource {
  //! 0: nothing was read yet.
  std::uint64_t content_revision = 7;

  std::string value = "{}";

  [[nodiscard]] FeedChanges ContentSince(
      const StorePosition& /*position*/) const override {
    return {At(content_revision),
            true,
            {{"servers/a", At(content_revision), value}}};
  }
  [[nodiscard]] FeedHeartbeat Heartbeat() const override {
    return {At(7), milliseconds(10), false};
  }
};

//! A configuration of many routes, whose names differ.
[[nodiscard]] std::string LargeConfig(std::size_t routes) {
  Random random(1);
  std::string text = R"({"version":7,"routes":[)";
  for (std::size_t i = 0; i < routes; ++i) {
    text += R"({"id":"r-)" + std::to_string(random.Below(1U << 30U)) +
            R"(","host":"h)" + std::to_string(random.Below(1U << 20U)) +
            R"(.example","prefix":"/p)" +
            std::to_string(random.Below(1U << 30U)) +
            R"(/","service":"counter-desk","timeoutMs":2000,"shards":54},)";
  }
  text.back() = ']';
  return text + "}";
}

struct FeedServerFixture : FeedLinkSink, FollowerObserver {
  asio::io_context loop;
  FixedSource source;
  FeedServer server{loop, source, *this};
  FeedLink link{loop, *this};
  //! Whether the follower is of the present version.
  bool reads_packed = true;
  int change_messages = 0;
  //! Of the last change.
  std::string value;
  //! Those of them that were the whole content.
  int full_change_messages = 0;
  int heartbeats = 0;
  bool link_may_end = false;
  //! Links that ended by the other side.
  int links_lost = 0;
  //! Records of the hosts that follow.
  std::map<NodeId, std::string> followers;

  void OnFollowerHello(const FeedHello& hello) override {
    followers[hello.host] = hello.record;
  }
  void OnFollowerLeft(const NodeId& host) override { followers.erase(host); }
  void OnFeedChanges(const FeedChanges& changes) override {
    ++change_messages;
    value = changes.changes.back().value.value_or("");
    full_change_messages += changes.whole ? 1 : 0;
  }
  void OnFeedHeartbeat(const FeedHeartbeat& /*beat*/) override { ++heartbeats; }
  void OnFeedLost(const std::string& problem) override {
    if (!link_may_end) {
      BOOST_FAIL("link lost: " + problem);
    }
    ++links_lost;
  }

  //! Follows until the first beat, which comes after the content.
  void Follow(std::uint64_t known_revision) {
    BOOST_REQUIRE(static_cast<bool>(server.Listen("127.0.0.1", 0)));
    link.Open({"127.0.0.1", server.port()},
              {NodeId("h1"), At(known_revision), "first", reads_packed});
    while (heartbeats == 0) {
      loop.run_one();
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(FeedServerTest, FeedServerFixture)

BOOST_AUTO_TEST_CASE(Follower_IsBehind_GetsTheContent) {
  Follow(6);
  BOOST_TEST(change_messages == 1);
}

// Guards against a configuration that is late: a hundred followers of one host
// hear of it through its link.
BOOST_AUTO_TEST_CASE(Content_LargeConfiguration_IsCompressedToAFifth) {
  source.value = LargeConfig(900);
  Follow(6);
  BOOST_TEST(change_messages == 1);
  BOOST_TEST(value == source.value);
  BOOST_TEST(link.received_bytes() * 5 < source.value.size());
}

// Guards against hosts of the version before that learn nothing while the fleet
// is updated one by one.
BOOST_AUTO_TEST_CASE(Content_FollowerCannotReadCompressed_IsSentPlain) {
  source.value = LargeConfig(900);
  reads_packed = false;
  Follow(6);
  BOOST_TEST(value == source.value);
  BOOST_TEST(link.received_bytes() > source.value.size());
}

// While the store is away, dozens of followers ask one feeder after the other
// for something newer. The content is not sent each time: it would fill the
// feeder's link and hold up its callers.
BOOST_AUTO_TEST_CASE(Follower_UpToDate_GetsOnlyAHeartbeat) {
  Follow(7);
  BOOST_TEST(change_messages == 0);
  BOOST_TEST(heartbeats == 1);
}

// All hosts start at once. A follower comes before its feeder has read
// anything, and what the feeder reads first is empty. With changes alone the
// follower would refuse all callers, as it knows no configuration, and look
// fresh.
BOOST_AUTO_TEST_CASE(Follower_ConnectsBeforeFeederHasRead_GetsContentLater) {
  source.content_revision = 0;
  Follow(0);
  BOOST_TEST(change_messages == 0);
  source.content_revision = 8;
  server.Publish({At(8), false, {{"op/config", At(8), "{}"}}});
  while (change_messages < 2) {
    loop.run_one();
  }
  BOOST_TEST(full_change_messages == 1);
}

// A follower says what its feeder is to keep in the store, and says so again
// when it changes; the content is not sent anew for that.
BOOST_AUTO_TEST_CASE(Follower_SendsNewRecord_ContentIsNotResent) {
  Follow(6);
  BOOST_TEST(followers.at(NodeId("h1")) == "first");
  link.SendHello({NodeId("h1"), At(7), "second"});
  while (followers.at(NodeId("h1")) != "second") {
    loop.run_one();
  }
  BOOST_TEST(change_messages == 1);
}

// A follower opens a second link before its first one is known to have ended,
// as after a power loss. It left only when the last one ends.
BOOST_AUTO_TEST_CASE(Follower_HasTwoLinks_LeavesWithTheLastLink) {
  Follow(6);
  FeedLink second(loop, *this);
  second.Open({"127.0.0.1", server.port()}, {NodeId("h1"), At(7), "second"});
  while (server.followers() < 2 || heartbeats < 2) {
    loop.run_one();
  }
  link.Close();
  while (server.followers() > 1) {
    loop.run_one();
  }
  BOOST_TEST(followers.contains(NodeId("h1")));
  second.Close();
  while (server.followers() > 0) {
    loop.run_one();
  }
  BOOST_TEST(followers.empty());
}

// A feeder stops and no longer renews the lease that its followers' records
// hang on. They must look for another feeder now, not when its process ends
// seconds later: their records would be gone in between.
BOOST_AUTO_TEST_CASE(Drain_WithFollower_LinkClosesAndNoNewOneIsAccepted) {
  Follow(6);
  const Endpoint address{"127.0.0.1", server.port()};
  link_may_end = true;
  server.Drain();
  while (links_lost == 0) {
    loop.run_one();
  }
  BOOST_TEST(followers.empty());
  loop.restart();
  link.Open(address, {NodeId("h1"), At(7), "first"});
  while (links_lost == 1) {
    loop.run_one();
  }
  BOOST_TEST(server.followers() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
