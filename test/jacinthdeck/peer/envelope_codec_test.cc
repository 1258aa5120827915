// Tests of the encoding of peer messages.
#include "jacinthdeck/peer/envelope_codec.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "jacinthdeck/core/random.h"

namespace jacinthdeck {

struct EnvelopeCodecFixture {
  static Envelope Wrap(PeerMessage message) {
    return Envelope{NodeId("a"),        Incarnation(7), NodeId("b"),
                    std::move(message), {Update()},     Revision(9)};
  }

  static MemberUpdate Update() {
    MemberUpdate update;
    update.node = NodeId("b");
    update.incarnation = Incarnation(3);
    update.refutation = 2;
    update.health = MemberHealth::kSuspect;
    update.leaving = true;
    update.address = MemberAddress{"127.0.0.1", 1, 2};
    update.domain = FailureDomain("akl-a");
    update.accusers = {NodeId("c"), NodeId("d")};
    return update;
  }

  const std::vector<PeerMessage> every_kind{
      Ping{1},
      PingAck{2, NodeId("s"), Incarnation(4)},
      PingRequest{3, NodeId("s"), MemberAddress{"127.0.0.1", 5, 6}},
      RevisionQuery{4, Revision(5)},
      RevisionReport{5, Revision(6), true},
      AckRequest{Revision(7), 8},
      RevisionAck{Revision(7), 8, Revision(9)},
      RevisionAnnounce{Revision(10)},
      ConfigFetch{Revision(11)},
      ConfigTransfer{Revision(12), "value"},
      ForwardRequest{13, RequestId{NodeId("n"), Incarnation(1), "x"},
                     ServiceId("S"), "M", TenantId("t"), "{}",
                     std::chrono::milliseconds(5)},
      ForwardReply{14, 200, "{}"},
      QuarantineNotice{{Fingerprint(1)},
                       {Fingerprint(2), Fingerprint(3)},
                       {Fingerprint(4)}},
      SyncRequest{},
      MemberSync{{Update(), Update()}},
  };
};

BOOST_FIXTURE_TEST_SUITE(EnvelopeCodecTest, EnvelopeCodecFixture)

BOOST_AUTO_TEST_CASE(Envelope_OfEveryKind_DecodesToTheSame) {
  BOOST_TEST(every_kind.size() == std::variant_size_v<PeerMessage>);
  for (const PeerMessage& message : every_kind) {
    const Envelope envelope = Wrap(message);
    const auto decoded = DecodeEnvelope(EncodeEnvelope(envelope));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == envelope), "kind " << message.index());
  }
}

// A broken or hostile connection delivers any bytes. They must be dropped or
// read as some envelope, never be followed out of the buffer: the sanitized run
// of this test shows that.
BOOST_AUTO_TEST_CASE(Envelope_DamagedBytes_AreNeverReadBeyondTheBuffer) {
  Random random(5);
  for (const PeerMessage& message : every_kind) {
    const std::string good = EncodeEnvelope(Wrap(message));
    for (int i = 0; i < 300; ++i) {
      std::string bad = good.substr(0, random.Below(good.size() + 1));
      for (std::uint64_t flips = random.Below(4); flips > 0 && !bad.empty();
           --flips) {
        bad[random.Below(bad.size())] = static_cast<char>(random.Below(256));
      }
      (void)DecodeEnvelope(bad);
    }
  }
  BOOST_TEST(!DecodeEnvelope("").has_value());
  BOOST_TEST(!DecodeEnvelope("junk that is no envelope").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
