// One function a message kind, from the generated types to the core's values.
#include "jacinthdeck/peer/message_decoder.h"

#include <array>
#include <string>
#include <utility>

namespace jacinthdeck::internal {

namespace {

[[nodiscard]] std::vector<Fingerprint> FingerprintsOf(
    const flatbuffers::Vector<std::uint64_t>* raw) {
  std::vector<Fingerprint> fingerprints;
  if (raw != nullptr) {
    for (const std::uint64_t value : *raw) {
      fingerprints.emplace_back(value);
    }
  }
  return fingerprints;
}

[[nodiscard]] PeerMessage Decode(const wire::Ping& from) {
  return Ping{from.sequence()};
}
[[nodiscard]] PeerMessage Decode(const wire::PingAck& from) {
  return PingAck{from.sequence(), NodeId(TextOf(from.subject())),
                 Incarnation(from.subject_incarnation())};
}
[[nodiscard]] PeerMessage Decode(const wire::PingRequest& from) {
  return PingRequest{from.sequence(), NodeId(TextOf(from.subject())),
                     DecodeAddress(from.address())};
}
[[nodiscard]] PeerMessage Decode(const wire::RevisionQuery& from) {
  return RevisionQuery{from.sequence(), Revision(from.revision())};
}
[[nodiscard]] PeerMessage Decode(const wire::RevisionReport& from) {
  return RevisionReport{from.sequence(), Revision(from.revision()),
                        from.recovered()};
}
[[nodiscard]] PeerMessage Decode(const wire::AckRequest& from) {
  return AckRequest{Revision(from.revision()), from.round()};
}
[[nodiscard]] PeerMessage Decode(const wire::RevisionAck& from) {
  return RevisionAck{Revision(from.revision()), from.round(),
                     Revision(from.in_force())};
}
[[nodiscard]] PeerMessage Decode(const wire::RevisionAnnounce& from) {
  return RevisionAnnounce{Revision(from.revision())};
}
[[nodiscard]] PeerMessage Decode(const wire::ConfigFetch& from) {
  return ConfigFetch{Revision(from.above())};
}
[[nodiscard]] PeerMessage Decode(const wire::ConfigTransfer& from) {
  return ConfigTransfer{Revision(from.revision()), TextOf(from.value())};
}
[[nodiscard]] PeerMessage Decode(const wire::ForwardRequest& from) {
  ForwardRequest to;
  to.sequence = from.sequence();
  to.id =
      RequestId{NodeId(TextOf(from.id_node())),
                Incarnation(from.id_incarnation()), TextOf(from.id_nonce())};
  to.service = ServiceId(TextOf(from.service()));
  to.method = TextOf(from.method());
  to.tenant = TenantId(TextOf(from.tenant()));
  to.body = TextOf(from.body());
  to.time_left = Duration(from.time_left_us());
  return to;
}
[[nodiscard]] PeerMessage Decode(const wire::ForwardReply& from) {
  return ForwardReply{from.sequence(), from.status(), TextOf(from.body())};
}
[[nodiscard]] PeerMessage Decode(const wire::QuarantineNotice& from) {
  return QuarantineNotice{FingerprintsOf(from.suspected()),
                          FingerprintsOf(from.cleared()),
                          FingerprintsOf(from.convicted())};
}

[[nodiscard]] PeerMessage Decode(const wire::SyncRequest& /*from*/) {
  return SyncRequest{};
}
[[nodiscard]] PeerMessage Decode(const wire::MemberSync& from) {
  MemberSync to;
  if (from.members() != nullptr) {
    for (const wire::MemberUpdate* update : *from.members()) {
      if (auto decoded = DecodeUpdate(*update)) {
        to.members.push_back(std::move(*decoded));
      }
    }
  }
  return to;
}

template <typename Wire>
[[nodiscard]] PeerMessage DecodeAs(const void* message) {
  return Decode(*static_cast<const Wire*>(message));
}

using Decoder = PeerMessage (*)(const void*);

//! Indexed by wire::Message; the first place is Message::NONE.
constexpr std::array<Decoder, 16> kDecoders{
    nullptr,
    &DecodeAs<wire::Ping>,
    &DecodeAs<wire::PingAck>,
    &DecodeAs<wire::PingRequest>,
    &DecodeAs<wire::RevisionQuery>,
    &DecodeAs<wire::RevisionReport>,
    &DecodeAs<wire::AckRequest>,
    &DecodeAs<wire::RevisionAck>,
    &DecodeAs<wire::RevisionAnnounce>,
    &DecodeAs<wire::ConfigFetch>,
    &DecodeAs<wire::ConfigTransfer>,
    &DecodeAs<wire::ForwardRequest>,
    &DecodeAs<wire::ForwardReply>,
    &DecodeAs<wire::QuarantineNotice>,
    &DecodeAs<wire::SyncRequest>,
    &DecodeAs<wire::MemberSync>,
};
static_assert(kDecoders.size() ==
              static_cast<std::size_t>(wire::Message::MAX) + 1);

}  // namespace

std::string TextOf(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

MemberAddress DecodeAddress(const wire::Address* address) {
  if (address == nullptr) {
    return MemberAddress{};
  }
  return MemberAddress{TextOf(address->host()), address->peer_port(),
                       address->caller_port()};
}

std::optional<MemberUpdate> DecodeUpdate(const wire::MemberUpdate& from) {
  if (from.health() >= kMemberHealthNames.names.size()) {
    return std::nullopt;
  }
  MemberUpdate to;
  to.node = NodeId(TextOf(from.node()));
  to.incarnation = Incarnation(from.incarnation());
  to.refutation = from.refutation();
  to.health = static_cast<MemberHealth>(from.health());
  to.leaving = from.leaving();
  to.address = DecodeAddress(from.address());
  to.domain = FailureDomain(TextOf(from.domain()));
  if (from.accusers() != nullptr) {
    for (const flatbuffers::String* accuser : *from.accusers()) {
      to.accusers.emplace_back(TextOf(accuser));
    }
  }
  return to;
}

std::optional<PeerMessage> DecodeMessage(const wire::Envelope& envelope) {
  const auto kind = static_cast<std::size_t>(envelope.message_type());
  if (kind >= kDecoders.size() || kDecoders[kind] == nullptr ||
      envelope.message() == nullptr) {
    return std::nullopt;
  }
  return kDecoders[kind](envelope.message());
}

}  // namespace jacinthdeck::internal
