// Tests of what a feeder sends to its followers, over loopback sockets.
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
  //! Revision of the content; 0 if this host has read nothing yet.
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

//! Makes a configuration with the given number of routes, all named
//! differently.
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
  //! Whether the follower can read compressed messages, as hosts of the present
  //! version can.
  bool reads_packed = true;
  //! Number of messages with changes.
  int change_messages = 0;
  //! Value of the last change.
  std::string value;
  //! Number of messages with the whole content.
  int full_change_messages = 0;
  int heartbeats = 0;
  bool link_may_end = false;
  //! Number of links that the other side ended or refused.
  int links_lost = 0;
  //! Records of the present followers, by name.
  std::map<HostId, std::string> followers;

  void OnFollowerHello(const FeedHello& hello) override {
    followers[hello.host] = hello.record;
  }
  void OnFollowerLeft(const HostId& host) override { followers.erase(host); }
  void OnFeedChanges(const FeedChanges& changes) override {
    ++change_messages;
    value = changes.changes.back().value.value_or("");
    full_change_messages += changes.whole ? 1 : 0;
  }
  void OnFeedHeartbeat(const FeedHeartbeat& /*heartbeat*/) override {
    ++heartbeats;
  }
  void OnFeedLost(const std::string& problem) override {
    if (!link_may_end) {
      BOOST_FAIL("link lost: " + problem);
    }
    ++links_lost;
  }

  //! Opens the link and waits for the first heartbeat, which is sent after the
  //! content.
  void Follow(std::uint64_t known_revision) {
    BOOST_REQUIRE(static_cast<bool>(server.Listen("127.0.0.1", 0)));
    link.Open({"127.0.0.1", server.port()},
              {HostId("h1"), At(known_revision), "first", reads_packed});
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

// Guards against a large configuration that arrives late, because one feeder
// sends it to a hundred followers over its network link.
BOOST_AUTO_TEST_CASE(Content_LargeConfiguration_IsCompressedToAFifth) {
  source.value = LargeConfig(900);
  Follow(6);
  BOOST_TEST(change_messages == 1);
  BOOST_TEST(value == source.value);
  BOOST_TEST(link.received_bytes() * 5 < source.value.size());
}

// Guards against a follower that never gets the content: it exceeds the bound
// of what may wait to be sent, and each new link ends for the same reason.
BOOST_AUTO_TEST_CASE(Content_ExceedsTheQueueBound_IsSent) {
  Random random(1);
  source.value.resize(std::size_t{12} << 20U);
  for (char& byte : source.value) {
    byte = static_cast<char>(random.Below(256));
  }
  Follow(6);
  BOOST_TEST((value == source.value));
}

// Guards against hosts of the previous version that cannot read the content
// while the fleet is updated host by host.
BOOST_AUTO_TEST_CASE(Content_FollowerCannotReadCompressed_IsSentPlain) {
  source.value = LargeConfig(900);
  reads_packed = false;
  Follow(6);
  BOOST_TEST(value == source.value);
  BOOST_TEST(link.received_bytes() > source.value.size());
}

// While the store is unavailable, dozens of followers connect to one feeder
// after the other to look for newer content. Guards against sending the content
// each time, which would saturate the feeder's network link and delay its
// callers.
BOOST_AUTO_TEST_CASE(Follower_UpToDate_GetsOnlyAHeartbeat) {
  Follow(7);
  BOOST_TEST(change_messages == 0);
  BOOST_TEST(heartbeats == 1);
}

// All hosts start at once: a follower connects before its feeder has read
// anything, and the feeder's first read is empty. Guards against a follower
// that then gets changes only: it would look fresh, but know no configuration
// and so refuse all callers.
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

// A follower sends the record that its feeder keeps in the store, and sends it
// again when it changes. The feeder must not send the content again for that.
BOOST_AUTO_TEST_CASE(Follower_SendsNewRecord_ContentIsNotResent) {
  Follow(6);
  BOOST_TEST(followers.at(HostId("h1")) == "first");
  link.SendHello({HostId("h1"), At(7), "second"});
  while (followers.at(HostId("h1")) != "second") {
    loop.run_one();
  }
  BOOST_TEST(change_messages == 1);
}

// A follower opens a second link before its first one is known to have ended,
// as after a power loss. The follower has left only when the last link ends.
BOOST_AUTO_TEST_CASE(Follower_HasTwoLinks_LeavesWithTheLastLink) {
  Follow(6);
  FeedLink second(loop, *this);
  second.Open({"127.0.0.1", server.port()}, {HostId("h1"), At(7), "second"});
  while (server.followers() < 2 || heartbeats < 2) {
    loop.run_one();
  }
  link.Close();
  while (server.followers() > 1) {
    loop.run_one();
  }
  BOOST_TEST(followers.contains(HostId("h1")));
  second.Close();
  while (server.followers() > 0) {
    loop.run_one();
  }
  BOOST_TEST(followers.empty());
}

// A feeder that stops no longer renews the lease that its followers' records
// depend on. The followers must look for another feeder at once: until the
// feeder's process ends seconds later, their records would expire.
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
  link.Open(address, {HostId("h1"), At(7), "first"});
  while (links_lost == 1) {
    loop.run_one();
  }
  BOOST_TEST(server.followers() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
