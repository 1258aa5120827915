// Tests of the encoding of messages between hosts and of their frames.
#include "jacinthdeck/peer/feed_message.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "jacinthdeck/peer/feed_frames.h"
#include "support/positions.h"
#include "support/printers.h"

namespace jacinthdeck {

namespace {

//! Encodes a message, reads it as a frame, and decodes it, as over a link.
[[nodiscard]] FeedMessage RoundTrip(
    const FeedMessage& message,
    FeedCompression compression = FeedCompression::kNone) {
  FeedFrameReader reader;
  reader.Add(EncodeFeedMessage(message, compression));
  const auto frame = reader.Next();
  BOOST_REQUIRE(frame.has_value());
  auto decoded = Capture([&] { return DecodeFeedMessage(*frame); });
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

// Guards against a part that is taken for the whole content.
BOOST_AUTO_TEST_CASE(Part_WithValues_RoundTripsAsAPart) {
  const FeedPart sent{{At(7, 3), true, {{"key", At(7, 3), "value"}}}};
  const auto got = std::get<FeedPart>(RoundTrip(sent));
  BOOST_TEST(got.changes.position == At(7, 3));
  BOOST_TEST(got.changes.whole);
  BOOST_REQUIRE_EQUAL(got.changes.changes.size(), 1U);
  BOOST_TEST(got.changes.changes[0].value.value() == "value");
}

// Guards against parts that are sent to a host of the previous version, whose
// hello has no field for them.
BOOST_AUTO_TEST_CASE(Hello_ReadsParts_RoundTrips) {
  for (const bool reads_parts : {false, true}) {
    const auto hello = std::get<FeedHello>(
        RoundTrip(FeedHello{HostId("a"), At(1), "", true, reads_parts}));
    BOOST_TEST(hello.reads_packed);
    BOOST_TEST(hello.reads_parts == reads_parts);
  }
}

BOOST_AUTO_TEST_CASE(Compressed_LargeAndSmallChanges_RoundTrip) {
  for (const std::size_t size : {0U, 10U, 1000U, 3000000U}) {
    const std::string value(size, 'v');
    const FeedChanges sent{At(7), true, {{"key", At(7), value}}};
    const auto got =
        std::get<FeedChanges>(RoundTrip(sent, FeedCompression::kZstd));
    BOOST_TEST(got.position == At(7));
    BOOST_REQUIRE_EQUAL(got.changes.size(), 1U);
    BOOST_TEST((got.changes[0].value.value() == value));
  }
}

// Guards against a damaged or forged frame that crashes a host or exhausts its
// memory. The frame is cut at every length and changed in every byte.
BOOST_AUTO_TEST_CASE(Compressed_DamagedFrame_IsRejectedOrDecoded) {
  FeedFrameReader reader;
  reader.Add(EncodeFeedMessage(
      FeedChanges{At(7), true, {{"key", At(1), std::string(5000, 'v')}}},
      FeedCompression::kZstd));
  const std::string whole = *reader.Next();
  BOOST_TEST(whole.size() < 1000U);
  for (std::size_t length = 0; length < whole.size(); ++length) {
    const std::string cut = whole.substr(0, length);
    (void)Capture([&] { return DecodeFeedMessage(cut); });
  }
  for (std::size_t at = 0; at < whole.size(); ++at) {
    for (const int mask : {0xff, 0x01, 0x80}) {
      std::string flipped = whole;
      flipped[at] = static_cast<char>(flipped[at] ^ mask);
      (void)Capture([&] { return DecodeFeedMessage(flipped); });
    }
  }
}

BOOST_AUTO_TEST_CASE(Compressed_SizeIsTooLargeOrWrong_IsRejected) {
  const FeedChanges sent{At(7), true, {{"key", At(1), std::string(5000, 'v')}}};
  FeedFrameReader plain_reader;
  plain_reader.Add(EncodeFeedMessage(sent));
  const std::size_t size = plain_reader.Next()->size();
  FeedFrameReader compressed_reader;
  compressed_reader.Add(EncodeFeedMessage(sent, FeedCompression::kZstd));
  const std::string whole = *compressed_reader.Next();
  // The size in a Packed message is encoded like the length prefix of a frame.
  const std::size_t at = whole.find(EncodeFrameLength(size));
  BOOST_REQUIRE(at != std::string::npos);
  for (const std::size_t forged_size :
       {std::size_t{0}, size - 1, size + 1, FeedFrameReader::kMaxFrameBytes,
        std::size_t{0xffffffff}}) {
    std::string forged = whole;
    forged.replace(at, EncodeFrameLength(size).size(),
                   EncodeFrameLength(forged_size));
    BOOST_TEST(Capture([&] { return DecodeFeedMessage(forged); }).index() ==
               1U);
  }
}

BOOST_AUTO_TEST_CASE(HelloAndHeartbeat_AllFields_RoundTrip) {
  const auto hello = std::get<FeedHello>(
      RoundTrip(FeedHello{HostId("host-1"), At(5, 2), "record"}));
  BOOST_TEST(hello.host == HostId("host-1"));
  BOOST_TEST(hello.position == At(5, 2));
  BOOST_TEST(hello.record == "record");
  const auto heartbeat = std::get<FeedHeartbeat>(
      RoundTrip(FeedHeartbeat{At(9, 4), std::chrono::milliseconds(1234), true,
                              std::chrono::milliseconds(5678)}));
  BOOST_TEST(heartbeat.position == At(9, 4));
  BOOST_TEST((heartbeat.age == std::chrono::milliseconds(1234)));
  BOOST_TEST(heartbeat.store_away);
  BOOST_TEST((heartbeat.available_for == std::chrono::milliseconds(5678)));
}

// Guards against a damaged frame that is read as content, by which a host would
// then serve. The frame is cut at every length and changed in every byte.
BOOST_AUTO_TEST_CASE(Decode_DamagedFrame_IsRejectedOrDecoded) {
  FeedFrameReader reader;
  reader.Add(
      EncodeFeedMessage(FeedChanges{At(7), true, {{"key", At(1), "value"}}}));
  const std::string whole = *reader.Next();
  for (std::size_t length = 0; length < whole.size(); ++length) {
    const std::string cut = whole.substr(0, length);
    (void)Capture([&] { return DecodeFeedMessage(cut); });
  }
  for (std::size_t at = 0; at < whole.size(); ++at) {
    std::string flipped = whole;
    flipped[at] = static_cast<char>(~flipped[at]);
    (void)Capture([&] { return DecodeFeedMessage(flipped); });
  }
  BOOST_TEST(Capture([] { return DecodeFeedMessage(""); }).index() == 1U);
  BOOST_TEST(Capture([] { return DecodeFeedMessage("nonsense"); }).index() ==
             1U);
}

BOOST_AUTO_TEST_CASE(Frames_ArriveByteByByte_AreSplitCorrectly) {
  const std::string two = EncodeFeedMessage(FeedHello{HostId("a"), At(1), ""}) +
                          EncodeFeedMessage(FeedHello{HostId("b"), At(2), ""});
  FeedFrameReader reader;
  int whole = 0;
  for (const char byte : two) {
    reader.Add({&byte, 1});
    whole += reader.Next() ? 1 : 0;
  }
  BOOST_TEST(whole == 2);
}

BOOST_AUTO_TEST_CASE(Frames_LengthExceedsLimit_StreamIsBroken) {
  FeedFrameReader reader;
  reader.Add("\xff\xff\xff\xff");
  BOOST_TEST(!reader.Next().has_value());
  BOOST_TEST(reader.broken());
}

// Guards against a made-up age. A feeder that had never reached the store
// reported an age of one hour instead, which its follower logged, so that
// readers of the log looked for an outage that had not happened.
BOOST_AUTO_TEST_CASE(Heartbeat_StoreWasNeverReached_HasNoAge) {
  const auto heartbeat =
      std::get<FeedHeartbeat>(RoundTrip(FeedHeartbeat{At(9), {}, false}));
  BOOST_TEST(!heartbeat.age.has_value());
  BOOST_TEST(!heartbeat.available_for.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
