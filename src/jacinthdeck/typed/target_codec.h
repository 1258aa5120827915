// JSON of the target protocol (docs/design/protocols.md).
#ifndef JACINTHDECK_TYPED_TARGET_CODEC_H_
#define JACINTHDECK_TYPED_TARGET_CODEC_H_

#include <string>

#include "jacinthdeck/query/effects.h"

namespace jacinthdeck {

/*! \brief Writes the body of a request to a target. */
[[nodiscard]] std::string EncodeTargetRequest(const SendAttempt& attempt);

/**
 * \brief Reads a target's reply.
 * \param attempt Attempt that it answers.
 * \param status HTTP status.
 * \param body Body of the reply.
 * \return The end of the attempt; kFailed if the reply is not of the protocol.
 */
[[nodiscard]] AttemptReply DecodeTargetReply(AttemptId attempt,
                                             long status,
                                             const std::string& body);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TYPED_TARGET_CODEC_H_
