// Encodes answers of the forwarder as HTTP responses to callers.
#ifndef JACINTHDECK_ENTRY_ANSWER_ENCODER_H_
#define JACINTHDECK_ENTRY_ANSWER_ENCODER_H_

#include "jacinthdeck/forward/forward_answer.h"
#include "jacinthdeck/http/edge_message.h"
#include "jacinthdeck/http/target_protocol.h"

namespace jacinthdeck {

/**
 * \brief Encodes an answer as an HTTP response.
 *
 * Status 503 and 429 guarantee that the request has not run and never will, so
 * only AnswerKind::kNotRun is encoded as 503, and kOverLimit as 429. Status 502
 * and 504 leave open whether the request ran.
 */
[[nodiscard]] EdgeResponse EncodeAnswer(const TargetProtocol& protocol,
                                        ForwardAnswer&& answer);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_ANSWER_ENCODER_H_
