// JSON of answers to callers (docs/design/protocols.md).
#ifndef JACINTHDECK_RUNTIME_ANSWER_JSON_H_
#define JACINTHDECK_RUNTIME_ANSWER_JSON_H_

#include <string>

#include "jacinthdeck/core/error.h"
#include "jacinthdeck/query/answer.h"
#include "jacinthdeck/runtime/call_result.h"

namespace jacinthdeck {

/**
 * \brief Encodes an answer.
 * \param request_id Id to repeat to the caller; may be empty.
 * \param answer Answer.
 * \return HTTP status and body.
 */
[[nodiscard]] EncodedAnswer EncodeAnswer(const std::string& request_id,
                                         const Answer& answer);

/*! \brief Encodes a typed error of a request that was not run. */
[[nodiscard]] std::string EncodeError(const Error& error);

/*! \brief Puts text between quotes, with what JSON wants escaped. */
[[nodiscard]] std::string QuoteJson(const std::string& text);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_ANSWER_JSON_H_
