// JSON encoding of answers and errors to callers (docs/design/protocols.md).
#ifndef JACINTHDECK_TYPED_ANSWER_JSON_H_
#define JACINTHDECK_TYPED_ANSWER_JSON_H_

#include <string>

#include "jacinthdeck/core/error.h"
#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/query/answer.h"
#include "jacinthdeck/typed/encoded_answer.h"

namespace jacinthdeck {

/**
 * \brief Encodes the answer to a typed call as an HTTP response.
 * \param request_id Id that is repeated to the caller; may be empty.
 * \param answer Answer to encode.
 * \return HTTP status and JSON body.
 */
[[nodiscard]] EncodedAnswer EncodeAnswer(const std::string& request_id,
                                         const Answer& answer);

/*! \brief Whether a target has run a request, as far as this host knows. */
enum class ExecutionStatus { kExecuted, kNotExecuted, kUnknown };

//! Values of the field `ran` of an answer.
inline constexpr NameTable<ExecutionStatus, 3> kExecutionStatusNames{
    {"yes", "no", "unknown"}};

/**
 * \brief Encodes an error as the JSON body of an answer.
 * \param error Error to encode.
 * \param status Whether the request has run; kNotExecuted only if it certainly
 * has not.
 */
[[nodiscard]] std::string EncodeError(
    const Error& error,
    ExecutionStatus status = ExecutionStatus::kNotExecuted);

/*! \brief Returns text as a quoted and escaped JSON string; an empty JSON
 * string, `""`, if the text is not valid UTF-8. */
[[nodiscard]] std::string QuoteJson(const std::string& text);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TYPED_ANSWER_JSON_H_
