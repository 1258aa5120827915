// JSON encoding of requests to targets and decoding of their replies
// (docs/design/protocols.md).
#ifndef JACINTHDECK_TYPED_TARGET_CODEC_H_
#define JACINTHDECK_TYPED_TARGET_CODEC_H_

#include <string>

#include "jacinthdeck/query/effects.h"

namespace jacinthdeck {

/*! \brief Encodes the body of a request to a target. */
[[nodiscard]] std::string EncodeTargetRequest(const SendAttempt& attempt);

/**
 * \brief Decodes a target's reply.
 * \param attempt Attempt that the reply answers.
 * \param status HTTP status of the reply.
 * \param body Body of the reply.
 * \return The end of the attempt; its status is kFailed if the reply does not
 * follow the protocol.
 */
[[nodiscard]] AttemptReply DecodeTargetReply(AttemptId attempt,
                                             long status,
                                             const std::string& body);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TYPED_TARGET_CODEC_H_
