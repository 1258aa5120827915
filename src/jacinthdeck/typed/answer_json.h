// JSON of answers to callers (docs/design/protocols.md).
#ifndef JACINTHDECK_TYPED_ANSWER_JSON_H_
#define JACINTHDECK_TYPED_ANSWER_JSON_H_

#include <string>

#include "jacinthdeck/core/error.h"
#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/query/answer.h"
#include "jacinthdeck/typed/encoded_answer.h"

namespace jacinthdeck {

/**
 * \brief Encodes an answer.
 * \param request_id Id to repeat to the caller; may be empty.
 * \param answer Answer.
 * \return HTTP status and body.
 */
[[nodiscard]] EncodedAnswer EncodeAnswer(const std::string& request_id,
                                         const Answer& answer);

/*! \brief What is known of whether a request has run. */
enum class ExecutionStatus { kExecuted, kNotExecuted, kUnknown };

//! Names as they stand in answers.
inline constexpr NameTable<ExecutionStatus, 3> kExecutionStatusNames{
    {"yes", "no", "unknown"}};

/**
 * \brief Encodes a typed error.
 * \param error Error.
 * \param status Whether the request has run; kNotExecuted only where this is
 * proved.
 */
[[nodiscard]] std::string EncodeError(
    const Error& error,
    ExecutionStatus status = ExecutionStatus::kNotExecuted);

/*! \brief Puts text between quotes, with what JSON wants escaped. */
[[nodiscard]] std::string QuoteJson(const std::string& text);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TYPED_ANSWER_JSON_H_
