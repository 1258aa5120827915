// One function a message kind, from the generated types to the core's values.
#ifndef JACINTHDECK_PEER_MESSAGE_DECODER_H_
#define JACINTHDECK_PEER_MESSAGE_DECODER_H_

#include <optional>

#include <envelope_generated.h>
#include "jacinthdeck/cluster/messages.h"

namespace jacinthdeck::internal {

/*! \brief Reads a verified union; nothing for a kind that this version does not
 * know. */
[[nodiscard]] std::optional<PeerMessage> DecodeMessage(
    const wire::Envelope& envelope);

/*! \brief Reads a statement about a member; nothing for an unknown health. */
[[nodiscard]] std::optional<MemberUpdate> DecodeUpdate(
    const wire::MemberUpdate& from);

/*! \brief Reads an address that may be absent. */
[[nodiscard]] MemberAddress DecodeAddress(const wire::Address* address);

/*! \brief Reads a string that may be absent. */
[[nodiscard]] std::string TextOf(const flatbuffers::String* text);

}  // namespace jacinthdeck::internal

#endif  // JACINTHDECK_PEER_MESSAGE_DECODER_H_
