// Tests of the messages between hosts.
#include "jacinthdeck/peer/feed_message.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "jacinthdeck/peer/feed_frames.h"
#include "support/positions.h"
#include "support/printers.h"

namespace jacinthdeck {

namespace {

//! Through frames and back, as over a link.
[[nodiscard]] FeedMessage RoundTrip(const FeedMessage& message,
                                    FeedPacking packing = FeedPacking::kPlain) {
  FeedFrames frames;
  frames.Add(EncodeFeed(message, packing));
  const auto frame = frames.Next();
  BOOST_REQUIRE(frame.has_value());
  auto decoded = Capture([&] { return DecodeFeed(*frame); });
  BOOST_REQUIRE_EQUAL(decoded.index(), 0U);
  return std::get<0>(decoded);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(FeedMessageTest)

BOOST_AUTO_TEST_CASE(Changes_ValuesAndRemovals_RoundTrip) {
  const std::string bytes("\x00\xff value", 8);
  const FeedChanges sent{At(77, 3),
                         true,
                         {{"op/config", At(70, 2), bytes},
                          {"gone", At(76, 3), std::nullopt},
                          {"", At(1, 3), ""}}};
  const auto got = std::get<FeedChanges>(RoundTrip(sent));
  BOOST_TEST(got.position == At(77, 3));
  BOOST_TEST(got.whole);
  BOOST_REQUIRE_EQUAL(got.changes.size(), 3U);
  BOOST_TEST(got.changes[0].value.value() == bytes);
  BOOST_TEST(got.changes[0].position == At(70, 2));
  BOOST_TEST(!got.changes[1].value.has_value());
  BOOST_TEST(got.changes[2].value.value().empty());
}

BOOST_AUTO_TEST_CASE(Packed_LargeAndSmall_RoundTrip) {
  for (const std::size_t size : {0U, 10U, 1000U, 3000000U}) {
    const std::string value(size, 'v');
    const FeedChanges sent{At(7), true, {{"key", At(7), value}}};
    const auto got =
        std::get<FeedChanges>(RoundTrip(sent, FeedPacking::kPacked));
    BOOST_TEST(got.position == At(7));
    BOOST_REQUIRE_EQUAL(got.changes.size(), 1U);
    BOOST_TEST((got.changes[0].value.value() == value));
  }
}

// Guards against a host that a damaged or forged frame stops or fills.
BOOST_AUTO_TEST_CASE(Packed_DamagedFrames_AreRefusedOrDecodeWhole) {
  FeedFrames frames;
  frames.Add(EncodeFeed(
      FeedChanges{At(7), true, {{"key", At(1), std::string(5000, 'v')}}},
      FeedPacking::kPacked));
  const std::string whole = *frames.Next();
  BOOST_TEST(whole.size() < 1000U);
  for (std::size_t length = 0; length < whole.size(); ++length) {
    const std::string cut = whole.substr(0, length);
    (void)Capture([&] { return DecodeFeed(cut); });
  }
  for (std::size_t at = 0; at < whole.size(); ++at) {
    for (const int mask : {0xff, 0x01, 0x80}) {
      std::string flipped = whole;
      flipped[at] = static_cast<char>(flipped[at] ^ mask);
      (void)Capture([&] { return DecodeFeed(flipped); });
    }
  }
}

BOOST_AUTO_TEST_CASE(Packed_SizeIsAbsurdOrWrong_IsRefused) {
  const FeedChanges sent{At(7), true, {{"key", At(1), std::string(5000, 'v')}}};
  FeedFrames plain;
  plain.Add(EncodeFeed(sent));
  const std::size_t size = plain.Next()->size();
  FeedFrames packed;
  packed.Add(EncodeFeed(sent, FeedPacking::kPacked));
  const std::string whole = *packed.Next();
  // A length stands before each frame as it does in the message.
  const std::size_t at = whole.find(FrameLength(size));
  BOOST_REQUIRE(at != std::string::npos);
  for (const std::size_t forged_size :
       {std::size_t{0}, size - 1, size + 1, FeedFrames::kMostBytes,
        std::size_t{0xffffffff}}) {
    std::string forged = whole;
    forged.replace(at, FrameLength(size).size(), FrameLength(forged_size));
    BOOST_TEST(Capture([&] { return DecodeFeed(forged); }).index() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(HelloAndBeat_RoundTrip) {
  const auto hello = std::get<FeedHello>(
      RoundTrip(FeedHello{HostId("host-1"), At(5, 2), "record"}));
  BOOST_TEST(hello.host == HostId("host-1"));
  BOOST_TEST(hello.position == At(5, 2));
  BOOST_TEST(hello.record == "record");
  const auto beat = std::get<FeedBeat>(
      RoundTrip(FeedBeat{At(9, 4), std::chrono::milliseconds(1234), true}));
  BOOST_TEST(beat.position == At(9, 4));
  BOOST_TEST((beat.age == std::chrono::milliseconds(1234)));
  BOOST_TEST(beat.store_away);
}

// A damaged frame must not be read as knowledge: a host would serve by it.
BOOST_AUTO_TEST_CASE(Decode_DamagedFrames_AreRefusedOrDecodeWhole) {
  FeedFrames frames;
  frames.Add(EncodeFeed(FeedChanges{At(7), true, {{"key", At(1), "value"}}}));
  const std::string whole = *frames.Next();
  for (std::size_t length = 0; length < whole.size(); ++length) {
    const std::string cut = whole.substr(0, length);
    (void)Capture([&] { return DecodeFeed(cut); });
  }
  for (std::size_t at = 0; at < whole.size(); ++at) {
    std::string flipped = whole;
    flipped[at] = static_cast<char>(~flipped[at]);
    (void)Capture([&] { return DecodeFeed(flipped); });
  }
  BOOST_TEST(Capture([] { return DecodeFeed(""); }).index() == 1U);
  BOOST_TEST(Capture([] { return DecodeFeed("nonsense"); }).index() == 1U);
}

BOOST_AUTO_TEST_CASE(Frames_ComeInPieces_AreCutWhereTheyEnd) {
  const std::string two = EncodeFeed(FeedHello{HostId("a"), At(1), ""}) +
                          EncodeFeed(FeedHello{HostId("b"), At(2), ""});
  FeedFrames frames;
  int whole = 0;
  for (const char byte : two) {
    frames.Add({&byte, 1});
    whole += frames.Next() ? 1 : 0;
  }
  BOOST_TEST(whole == 2);
}

BOOST_AUTO_TEST_CASE(Frames_LengthIsAbsurd_StreamIsBroken) {
  FeedFrames frames;
  frames.Add("\xff\xff\xff\xff");
  BOOST_TEST(!frames.Next().has_value());
  BOOST_TEST(frames.broken());
}

// The log of a follower says that its knowledge is an hour old.
// Its feeder had never heard the store and told an hour in place of that, so
// whoever read the log looked for an outage that was none.
BOOST_AUTO_TEST_CASE(Beat_StoreWasNeverHeard_HasNoAge) {
  const auto beat = std::get<FeedBeat>(RoundTrip(FeedBeat{At(9), {}, false}));
  BOOST_TEST(!beat.age.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
