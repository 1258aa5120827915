// FlatBuffers encoding of the messages between the entries.
#include "jacinthdeck/peer/envelope_codec.h"

#include <cstdint>
#include <memory>
#include <utility>

#include <envelope_generated.h>
#include "jacinthdeck/peer/message_decoder.h"
#include "jacinthdeck/peer/message_encoder.h"

namespace jacinthdeck {

namespace {

[[nodiscard]] std::unique_ptr<wire::MemberUpdateT> EncodeUpdate(
    const MemberUpdate& from) {
  auto to = std::make_unique<wire::MemberUpdateT>();
  to->node = from.node.raw();
  to->incarnation = from.incarnation.raw();
  to->refutation = from.refutation;
  to->health = static_cast<std::uint8_t>(from.health);
  to->leaving = from.leaving;
  to->address = internal::EncodeAddress(from.address);
  to->domain = from.domain.raw();
  for (const NodeId& accuser : from.accusers) {
    to->accusers.push_back(accuser.raw());
  }
  return to;
}

[[nodiscard]] std::optional<MemberUpdate> DecodeUpdate(
    const wire::MemberUpdate& from) {
  if (from.health() >= kMemberHealthNames.names.size()) {
    return std::nullopt;
  }
  MemberUpdate to;
  to.node = NodeId(internal::TextOf(from.node()));
  to.incarnation = Incarnation(from.incarnation());
  to.refutation = from.refutation();
  to.health = static_cast<MemberHealth>(from.health());
  to.leaving = from.leaving();
  to.address = internal::DecodeAddress(from.address());
  to.domain = FailureDomain(internal::TextOf(from.domain()));
  if (from.accusers() != nullptr) {
    for (const flatbuffers::String* accuser : *from.accusers()) {
      to.accusers.emplace_back(internal::TextOf(accuser));
    }
  }
  return to;
}

}  // namespace

std::string EncodeEnvelope(const Envelope& envelope) {
  wire::EnvelopeT to;
  to.from = envelope.from.raw();
  to.incarnation = envelope.incarnation.raw();
  to.to = envelope.to.raw();
  to.message = internal::EncodeMessage(envelope.message);
  for (const MemberUpdate& update : envelope.gossip) {
    to.gossip.push_back(EncodeUpdate(update));
  }
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::Envelope::Pack(builder, &to));
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                     builder.GetSize());
}

std::optional<Envelope> DecodeEnvelope(std::string_view bytes) {
  flatbuffers::Verifier verifier(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (!wire::VerifyEnvelopeBuffer(verifier)) {
    return std::nullopt;
  }
  const wire::Envelope& from = *wire::GetEnvelope(bytes.data());
  std::optional<PeerMessage> message = internal::DecodeMessage(from);
  if (!message) {
    return std::nullopt;
  }
  Envelope to;
  to.from = NodeId(internal::TextOf(from.from()));
  to.incarnation = Incarnation(from.incarnation());
  to.to = NodeId(internal::TextOf(from.to()));
  to.message = std::move(*message);
  if (from.gossip() != nullptr) {
    for (const wire::MemberUpdate* update : *from.gossip()) {
      std::optional<MemberUpdate> decoded = DecodeUpdate(*update);
      if (!decoded) {
        return std::nullopt;
      }
      to.gossip.push_back(std::move(*decoded));
    }
  }
  return to;
}

}  // namespace jacinthdeck
