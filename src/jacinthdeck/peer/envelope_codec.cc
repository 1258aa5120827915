// FlatBuffers encoding of the messages between the entries.
#include "jacinthdeck/peer/envelope_codec.h"

#include <cstdint>
#include <utility>

#include <envelope_generated.h>
#include "jacinthdeck/peer/message_decoder.h"
#include "jacinthdeck/peer/message_encoder.h"

namespace jacinthdeck {

std::string EncodeEnvelope(const Envelope& envelope) {
  wire::EnvelopeT to;
  to.from = envelope.from.raw();
  to.incarnation = envelope.incarnation.raw();
  to.to = envelope.to.raw();
  to.revision = envelope.revision.raw();
  to.message = internal::EncodeMessage(envelope.message);
  for (const MemberUpdate& update : envelope.gossip) {
    to.gossip.push_back(internal::EncodeUpdate(update));
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
  to.revision = Revision(from.revision());
  if (from.gossip() != nullptr) {
    for (const wire::MemberUpdate* update : *from.gossip()) {
      std::optional<MemberUpdate> decoded = internal::DecodeUpdate(*update);
      if (!decoded) {
        return std::nullopt;
      }
      to.gossip.push_back(std::move(*decoded));
    }
  }
  return to;
}

}  // namespace jacinthdeck
