// Tests of what a feeder sends to its followers, over loopback sockets.
#include "jacinthdeck/peer/feed_server.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "jacinthdeck/core/random.h"
#include "jacinthdeck/discovery/store_content.h"
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

//! Makes text that cannot be compressed.
[[nodiscard]] std::string RandomText(std::size_t bytes) {
  Random random(1);
  std::string text(bytes, '\0');
  for (char& byte : text) {
    byte = static_cast<char>(random.Below(256));
  }
  return text;
}

//! Host whose content has many large entries.
struct LargeSource final : FeedSource {
  static constexpr std::size_t kEntries = 20;
  static constexpr std::size_t kEntryBytes = std::size_t{500} << 10U;

  StoreContent content;
  StorePosition position = At(kEntries);

  LargeSource() {
    std::vector<StoreChange> items;
    for (std::size_t i = 1; i <= kEntries; ++i) {
      items.push_back({"servers/" + std::to_string(i), At(i),
                       std::string(kEntryBytes, static_cast<char>('a' + i))});
    }
    content.Replace(items, position);
  }

  //! Writes a key, as the next change.
  FeedChanges Put(const std::string& key, const std::string& value) {
    ++position.revision;
    return {position, false, content.Apply({{{key, position, value}}})};
  }

  [[nodiscard]] FeedChanges ContentSince(
      const StorePosition& known) const override {
    auto since =
        known.revision > 0 ? content.ChangesSince(known) : std::nullopt;
    const bool whole = !since.has_value();
    return {position, whole, whole ? content.Items() : std::move(*since)};
  }
  [[nodiscard]] FeedHeartbeat Heartbeat() const override {
    return {position, milliseconds(10), false};
  }
};

struct FeedServerFixture : FeedLinkSink, FollowerObserver {
  asio::io_context loop;
  FixedSource source;
  FeedServer server{loop, source, *this};
  FeedLink link{loop, *this};
  //! Whether the follower can read compressed messages, as hosts of the present
  //! version can.
  bool reads_packed = true;
  bool reads_parts = true;
  //! Parts of changes before the last ones.
  int parts = 0;
  //! Number of messages with changes.
  int change_messages = 0;
  //! All changes that were received.
  StoreContent received;
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
    received.Apply(changes.changes);
    full_change_messages += changes.whole ? 1 : 0;
  }
  void OnFeedPart() override { ++parts; }
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
    link.Open(
        {"127.0.0.1", server.port()},
        {HostId("h1"), At(known_revision), "first", reads_packed, reads_parts});
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
  source.value = RandomText(std::size_t{12} << 20U);
  Follow(6);
  BOOST_TEST((value == source.value));
}

// Guards against followers that lose a change for ever: it exceeds the bound of
// what may wait to be sent, so that their links and each new one end.
BOOST_AUTO_TEST_CASE(Change_ExceedsTheQueueBound_IsSent) {
  Follow(6);
  const std::string large = RandomText(std::size_t{12} << 20U);
  server.Publish({At(8), false, {{"servers/b", At(8), large}}});
  while (value != large) {
    loop.run_one();
  }
  BOOST_TEST(change_messages == 2);
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
// Guards against connections without a hello that keep hosts from following.
BOOST_AUTO_TEST_CASE(Links_WithoutHelloAtTheLimit_LeaveRoomForAFollower) {
  BOOST_REQUIRE(static_cast<bool>(server.Listen("127.0.0.1", 0, 2)));
  const tcp::endpoint address(asio::ip::address_v4::loopback(), server.port());
  std::vector<tcp::socket> silent;
  for (int link_number = 0; link_number < 3; ++link_number) {
    silent.emplace_back(loop).connect(address);
  }
  link.Open({"127.0.0.1", server.port()}, {HostId("h1"), At(6), "first"});
  while (heartbeats == 0) {
    loop.run_one();
  }
  BOOST_TEST(followers.size() == 1U);
  BOOST_TEST(server.followers() == 2U);
}

// Guards against a message that is kept until its end, or grows when it is
// decompressed, although a follower sends nothing but a hello.
BOOST_AUTO_TEST_CASE(Message_LongerThanAHello_EndsItsLink) {
  BOOST_REQUIRE(static_cast<bool>(server.Listen("127.0.0.1", 0)));
  const FeedHello hello{HostId("h2"), At(6), std::string(1U << 20U, 'r'), true,
                        true};
  const std::string packed = EncodeFeedMessage(hello, FeedCompression::kZstd);
  BOOST_TEST(packed.size() < 65536U);
  for (const std::string& message : {EncodeFrameLength(1U << 20U), packed}) {
    tcp::socket socket(loop);
    socket.connect({asio::ip::address_v4::loopback(), server.port()});
    asio::write(socket, asio::buffer(message));
    while (server.followers() == 0) {
      loop.run_one();
    }
    while (server.followers() == 1) {
      loop.run_one();
    }
    BOOST_TEST(followers.empty());
  }
}

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

//! Feeder with large content and followers that may read none of it.
struct LargeContentFixture : FeedServerFixture {
  LargeSource large;
  FeedServer large_server{loop, large, *this};
  std::vector<tcp::socket> idle_followers;

  LargeContentFixture() {
    BOOST_REQUIRE(static_cast<bool>(large_server.Listen("127.0.0.1", 0)));
  }

  //! Adds a follower that sends its hello and reads nothing.
  void AddIdleFollower() {
    tcp::socket& socket = idle_followers.emplace_back(loop);
    socket.connect({asio::ip::address_v4::loopback(), large_server.port()});
    const HostId name("idle-" + std::to_string(idle_followers.size()));
    const std::string hello =
        EncodeFeedMessage(FeedHello{name, {}, "", reads_packed, reads_parts});
    asio::write(socket, asio::buffer(hello));
    while (!followers.contains(name)) {
      loop.run_one();
    }
  }

  void FollowLarge() {
    link.Open({"127.0.0.1", large_server.port()},
              {HostId("h1"), {}, "", reads_packed, reads_parts});
    while (heartbeats == 0) {
      loop.run_one();
    }
  }

  [[nodiscard]] bool ReceivedAll() const {
    return std::ranges::equal(received.Items(), large.content.Items(),
                              [](const auto& left, const auto& right) {
                                return left.key == right.key &&
                                       left.value == right.value;
                              });
  }

  //! Size of the content, with some space for keys.
  static constexpr std::size_t kContentBytes =
      LargeSource::kEntries * (LargeSource::kEntryBytes + 1024);
};

// Guards against content that no follower accepts, as its frame exceeds their
// limit, and against a follower that applies a part alone: other keys would
// count as removed.
BOOST_FIXTURE_TEST_CASE(Content_IsLarge_IsSentInPartsAndAppliedAtOnce,
                        LargeContentFixture) {
  FollowLarge();
  BOOST_TEST(change_messages == 1);
  BOOST_TEST(parts + 1 == static_cast<int>(LargeSource::kEntries) / 2);
  BOOST_TEST(ReceivedAll());
}

// Guards against hosts of the previous version that take the first part for the
// whole content while the fleet is updated host by host.
BOOST_FIXTURE_TEST_CASE(Content_FollowerCannotReadParts_IsSentAsOneMessage,
                        LargeContentFixture) {
  reads_parts = false;
  FollowLarge();
  BOOST_TEST(parts == 0);
  BOOST_TEST(change_messages == 1);
  BOOST_TEST(ReceivedAll());
}

// Guards against a feeder whose memory is exhausted by a copy of the content
// for each of dozens of followers that read slowly, while the content changes.
BOOST_FIXTURE_TEST_CASE(Content_FollowersReadNothing_IsHeldOnce,
                        LargeContentFixture) {
  reads_packed = false;
  for (int i = 0; i < 10; ++i) {
    AddIdleFollower();
    large_server.Publish(large.Put("servers/1", std::to_string(i)));
  }
  BOOST_TEST(large_server.followers() == 10U);
  BOOST_TEST(large_server.held_content_bytes() > kContentBytes / 2);
  BOOST_TEST(large_server.held_content_bytes() <= kContentBytes);
}

// Guards against a follower that misses the changes between the content that
// other followers are still being sent and its own hello.
BOOST_FIXTURE_TEST_CASE(Content_ChangedSinceItWasShared_FollowerGetsBoth,
                        LargeContentFixture) {
  reads_packed = false;
  AddIdleFollower();
  large_server.Publish(large.Put("servers/1", "changed"));
  FollowLarge();
  BOOST_TEST(change_messages == 2);
  BOOST_TEST(full_change_messages == 1);
  BOOST_TEST(ReceivedAll());
}

// Guards against a feeder that keeps content for followers that have left.
BOOST_FIXTURE_TEST_CASE(Content_FollowersLeave_IsReleased,
                        LargeContentFixture) {
  reads_packed = false;
  AddIdleFollower();
  idle_followers.clear();
  while (large_server.followers() > 0) {
    loop.run_one();
  }
  loop.poll();
  BOOST_TEST(large_server.held_content_bytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
