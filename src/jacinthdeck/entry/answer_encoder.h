// Turns answers into responses to callers.
#ifndef JACINTHDECK_ENTRY_ANSWER_ENCODER_H_
#define JACINTHDECK_ENTRY_ANSWER_ENCODER_H_

#include "jacinthdeck/forward/forward_answer.h"
#include "jacinthdeck/http/edge_message.h"
#include "jacinthdeck/http/target_protocol.h"

namespace jacinthdeck {

/**
 * \brief Encodes an answer.
 *
 * Status 503 promises that the request has not run and never will, so it is
 * used for AnswerKind::kNotRun alone; 502 and 504 promise nothing.
 */
[[nodiscard]] EdgeResponse EncodeAnswer(const TargetProtocol& protocol,
                                        ForwardAnswer&& answer);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_ANSWER_ENCODER_H_
