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
  std::uint64_t known = 7;

  std::string value = "{}";

  [[nodiscard]] FeedChanges ContentSince(
      const StorePosition& /*position*/) const override {
    return {At(known), true, {{"servers/a", At(known), value}}};
  }
  [[nodiscard]] FeedBeat Beat() const override {
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

struct ServerFixture : FeedLinkSink, FollowerObserver {
  asio::io_context loop;
  FixedSource source;
  FeedServer server{loop, source, *this};
  FeedLink link{loop, *this};
  //! Whether the follower is of the present version.
  bool reads_packed = true;
  int contents = 0;
  //! Of the last change.
  std::string value;
  //! Those of them that were the whole content.
  int wholes = 0;
  int beats = 0;
  bool link_may_end = false;
  //! Links that ended by the other side.
  int lost = 0;
  //! Records of the hosts that follow.
  std::map<HostId, std::string> followers;

  void OnFollower(const FeedHello& hello) override {
    followers[hello.host] = hello.record;
  }
  void OnFollowerLeft(const HostId& host) override { followers.erase(host); }
  void OnFeedChanges(const FeedChanges& changes) override {
    ++contents;
    value = changes.changes.back().value.value_or("");
    wholes += changes.whole ? 1 : 0;
  }
  void OnFeedBeat(const FeedBeat& /*beat*/) override { ++beats; }
  void OnFeedLost(const std::string& problem) override {
    if (!link_may_end) {
      BOOST_FAIL("link lost: " + problem);
    }
    ++lost;
  }

  //! Follows until the first beat, which comes after the content.
  void Follow(std::uint64_t known_revision) {
    BOOST_REQUIRE(static_cast<bool>(server.Listen("127.0.0.1", 0)));
    link.Open({"127.0.0.1", server.port()},
              {HostId("h1"), At(known_revision), "first", reads_packed});
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

// Guards against a configuration that is late: a hundred followers of one host
// hear of it through its link.
BOOST_AUTO_TEST_CASE(Content_IsALargeConfiguration_TakesAFifthOfItsBytes) {
  source.value = LargeConfig(900);
  Follow(6);
  BOOST_TEST(contents == 1);
  BOOST_TEST(value == source.value);
  BOOST_TEST(link.received() * 5 < source.value.size());
}

// Guards against hosts of the version before that learn nothing while the fleet
// is updated one by one.
BOOST_AUTO_TEST_CASE(Content_FollowerReadsNoPackedOnes_IsPlain) {
  source.value = LargeConfig(900);
  reads_packed = false;
  Follow(6);
  BOOST_TEST(value == source.value);
  BOOST_TEST(link.received() > source.value.size());
}

// While the store is away, dozens of followers ask one feeder after the other
// for something newer. The content is not sent each time: it would fill the
// feeder's link and hold up its callers.
BOOST_AUTO_TEST_CASE(Follower_KnowsAsMuch_GetsOnlyTheAge) {
  Follow(7);
  BOOST_TEST(contents == 0);
  BOOST_TEST(beats == 1);
}

// All hosts start at once. A follower comes before its feeder has read
// anything, and what the feeder reads first is empty. With changes alone the
// follower would refuse all callers, as it knows no configuration, and look
// fresh.
BOOST_AUTO_TEST_CASE(Follower_ComesBeforeTheFirstReading_GetsTheContentLater) {
  source.known = 0;
  Follow(0);
  BOOST_TEST(contents == 0);
  source.known = 8;
  server.Publish({At(8), false, {{"op/config", At(8), "{}"}}});
  while (contents < 2) {
    loop.run_one();
  }
  BOOST_TEST(wholes == 1);
}

// A follower says what its feeder is to keep in the store, and says so again
// when it changes; the content is not sent anew for that.
BOOST_AUTO_TEST_CASE(Follower_SaysAnotherRecord_IsTakenWithoutTheContent) {
  Follow(6);
  BOOST_TEST(followers.at(HostId("h1")) == "first");
  link.Say({HostId("h1"), At(7), "second"});
  while (followers.at(HostId("h1")) != "second") {
    loop.run_one();
  }
  BOOST_TEST(contents == 1);
}

// A follower opens a second link before its first one is known to have ended,
// as after a power loss. It left only when the last one ends.
BOOST_AUTO_TEST_CASE(Follower_HasTwoLinks_LeavesWithTheLast) {
  Follow(6);
  FeedLink second(loop, *this);
  second.Open({"127.0.0.1", server.port()}, {HostId("h1"), At(7), "second"});
  while (server.followers() < 2 || beats < 2) {
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

// A feeder stops and no longer renews the lease that its followers' records
// hang on. They must look for another feeder now, not when its process ends
// seconds later: their records would be gone in between.
BOOST_AUTO_TEST_CASE(Drain_AHostFollows_LinkEndsAndNoneIsTaken) {
  Follow(6);
  const Endpoint address{"127.0.0.1", server.port()};
  link_may_end = true;
  server.Drain();
  while (lost == 0) {
    loop.run_one();
  }
  BOOST_TEST(followers.empty());
  loop.restart();
  link.Open(address, {HostId("h1"), At(7), "first"});
  while (lost == 1) {
    loop.run_one();
  }
  BOOST_TEST(server.followers() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
