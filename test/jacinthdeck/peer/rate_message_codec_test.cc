// Tests of the encoding of messages between rate limiters, and of joining the
// parts of large ones.
#include "jacinthdeck/peer/rate_message_codec.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <limits>
#include <string>

#include "jacinthdeck/core/random.h"
#include "jacinthdeck/peer/rate_message_assembler.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

[[nodiscard]] HostId Sender() {
  return HostId("host-17.example");
}

[[nodiscard]] bool Decodes(std::string_view bytes) {
  return Capture([&] { return DecodeRateDatagram(bytes); }).index() == 0;
}

[[nodiscard]] RateDatagram Decode(std::string_view bytes) {
  auto read = Capture([&] { return DecodeRateDatagram(bytes); });
  BOOST_REQUIRE_EQUAL(read.index(), 0U);
  return std::get<0>(std::move(read));
}

//! Sends a message in datagrams that arrive in reverse order.
[[nodiscard]] RateMessage RoundTrip(const RateMessage& message) {
  std::vector<std::string> datagrams = EncodeRateMessage(Sender(), message);
  std::ranges::reverse(datagrams);
  RateMessageAssembler assembler;
  std::optional<RateMessage> joined;
  for (const std::string& datagram : datagrams) {
    BOOST_TEST(datagram.size() <= kMaxRateDatagramBytes);
    BOOST_TEST(!joined.has_value());
    joined = assembler.Add(Decode(datagram));
  }
  BOOST_REQUIRE(joined.has_value());
  BOOST_TEST(assembler.incomplete() == 0U);
  return *joined;
}

[[nodiscard]] TokenRequest LargeRequest() {
  TokenRequest request{7, 1'700'000'000'000, {}};
  for (std::uint32_t index = 0; index < 80; ++index) {
    request.demands.push_back(
        {TenantId("account-" + std::to_string(index)), index, {}});
    // One account has more waiting requests than a datagram holds.
    request.demands.back().waiting.assign(index == 5 ? 900 : index % 4, index);
  }
  return request;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RateMessageCodecTest)

BOOST_AUTO_TEST_CASE(ShareMessages_RoundTrip) {
  BOOST_TEST(std::get<ShareRequest>(RoundTrip(ShareRequest{9})).nonce == 9U);
  const auto lease =
      std::get<ShareLease>(RoundTrip(ShareLease{4, 1.0 / 76, ~0ULL}));
  BOOST_TEST(lease.nonce == 4U);
  BOOST_TEST(lease.share == 1.0 / 76);
  BOOST_TEST(lease.partitions == ~0ULL);
}

BOOST_AUTO_TEST_CASE(TokenRequest_LargerThanDatagram_IsSplitAndJoined) {
  const TokenRequest sent = LargeRequest();
  BOOST_TEST(EncodeRateMessage(Sender(), sent).size() > 3U);
  const auto got = std::get<TokenRequest>(RoundTrip(sent));
  BOOST_TEST(got.number == sent.number);
  BOOST_TEST(got.started_ms == sent.started_ms);
  BOOST_REQUIRE_EQUAL(got.demands.size(), sent.demands.size());
  for (std::size_t index = 0; index < got.demands.size(); ++index) {
    BOOST_TEST(got.demands[index].tenant.raw() ==
               sent.demands[index].tenant.raw());
    BOOST_TEST(got.demands[index].spent == sent.demands[index].spent);
    BOOST_TEST(got.demands[index].waiting == sent.demands[index].waiting);
  }
}

BOOST_AUTO_TEST_CASE(TokenGrant_LargerThanDatagram_IsSplitAndJoined) {
  TokenGrant sent{8, 5, {}};
  for (std::uint32_t index = 0; index < 3; ++index) {
    TokenAward award{TenantId("t" + std::to_string(index)), 3, 2, {}};
    for (std::uint32_t position = 0; position < 200; ++position) {
      award.limited.push_back({position, milliseconds(position)});
    }
    sent.awards.push_back(award);
  }
  sent.awards[0].limited[0].retry_after = std::chrono::hours(5);
  const auto got = std::get<TokenGrant>(RoundTrip(sent));
  BOOST_REQUIRE_EQUAL(got.awards.size(), 3U);
  BOOST_TEST(got.awards[1].granted == 3U);
  BOOST_TEST(got.awards[2].settled == 2U);
  BOOST_REQUIRE_EQUAL(got.awards[2].limited.size(), 200U);
  BOOST_TEST(got.awards[2].limited[199].position == 199U);
  BOOST_TEST((got.awards[2].limited[199].retry_after == milliseconds(199)));
  // Longer times are cut to what the field holds, over an hour.
  BOOST_TEST((got.awards[0].limited[0].retry_after > std::chrono::hours(1)));
}

// Guards against a limiter that sees a part of a message: it counts each number
// once, so the rest would be lost.
BOOST_AUTO_TEST_CASE(Parts_OneIsMissing_RepetitionCompletes) {
  const auto datagrams = EncodeRateMessage(Sender(), LargeRequest());
  RateMessageAssembler assembler;
  for (std::size_t index = 1; index < datagrams.size(); ++index) {
    BOOST_TEST(!assembler.Add(Decode(datagrams[index])).has_value());
  }
  BOOST_TEST(!assembler.Add(Decode(datagrams[1])).has_value());
  BOOST_TEST(assembler.incomplete() == 1U);
  BOOST_TEST(assembler.Add(Decode(datagrams[0])).has_value());
}

// Guards against memory that grows with parts whose messages never complete.
BOOST_AUTO_TEST_CASE(Parts_ManyIncompleteMessages_OldestAreDropped) {
  RateMessageAssembler assembler;
  for (std::uint64_t number = 0; number < 1000; ++number) {
    (void)assembler.Add({Sender(), 0, 2, TokenRequest{number, 1, {}}});
    (void)assembler.Add({Sender(), 0, 65, TokenRequest{number, 1, {}}});
  }
  BOOST_TEST(assembler.incomplete() == RateMessageAssembler::kMaxMessages);
}

BOOST_AUTO_TEST_CASE(Datagram_InvalidValues_IsError) {
  for (const double share :
       {-0.1, 1.1, std::numeric_limits<double>::quiet_NaN(),
        std::numeric_limits<double>::infinity()}) {
    BOOST_TEST(
        !Decodes(EncodeRateMessage(Sender(), ShareLease{1, share, 1})[0]));
  }
  BOOST_TEST(!Decodes(EncodeRateMessage(HostId(), ShareRequest{1})[0]));
  BOOST_TEST(!Decodes(
      EncodeRateMessage(Sender(), TokenRequest{1, 1, {TokenDemand{}}})[0]));
  BOOST_TEST(!Decodes(""));
  BOOST_TEST(!Decodes("JDRL"));
  BOOST_TEST(!Decodes(EncodeRateMessage(Sender(), ShareRequest{1})[0] +
                      std::string(kMaxRateDatagramBytes, 'x')));
}

// Guards against a reader that trusts lengths and offsets of a datagram; the
// builds with sanitizers show reads beyond its end.
BOOST_AUTO_TEST_CASE(Datagram_DamagedAtRandom_IsReadSafely) {
  const auto datagrams = EncodeRateMessage(Sender(), LargeRequest());
  Random random(4711);
  std::size_t errors = 0;
  for (int trial = 0; trial < 20000; ++trial) {
    std::string bytes = datagrams[random.Below(datagrams.size())];
    if (random.Below(4) == 0) {
      bytes.resize(random.Below(bytes.size() + 1));
    }
    for (std::size_t change = random.Below(6); change > 0 && !bytes.empty();
         --change) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    }
    errors += Decodes(bytes) ? 0 : 1;
  }
  BOOST_TEST(errors > 5000U);
  BOOST_TEST(errors < 20000U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
