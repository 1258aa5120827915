// FlatBuffers encoding of the messages between the entries.
#ifndef JACINTHDECK_PEER_ENVELOPE_CODEC_H_
#define JACINTHDECK_PEER_ENVELOPE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "jacinthdeck/cluster/messages.h"

namespace jacinthdeck {

/*! \brief Encodes an envelope, without its frame. */
[[nodiscard]] std::string EncodeEnvelope(const Envelope& envelope);

/**
 * \brief Reads an envelope that may come from anybody.
 * \param bytes What a frame held.
 * \return The envelope, or nothing if the bytes do not pass the verifier or
 * hold an unknown kind.
 */
[[nodiscard]] std::optional<Envelope> DecodeEnvelope(std::string_view bytes);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_ENVELOPE_CODEC_H_
