// Error codes and the error value that the project's results carry.
#ifndef JACINTHDECK_CORE_ERROR_H_
#define JACINTHDECK_CORE_ERROR_H_

#include <string>

#include "jacinthdeck/core/name_table.h"

namespace jacinthdeck {

/*! \brief Kind of an error; code branches on it, never on the message. */
enum class ErrorCode {
  kInvalidArgument,
  kNotFound,
  kConflict,
  kTooLarge,
  kUnavailable,
  kTimeout,
  kRateLimited,
  kOutcomeUnknown,
  kCorrupt,
  kInternal,
  kUnauthorized,
};

//! Names of the error codes in replies and logs.
inline constexpr NameTable<ErrorCode, 11> kErrorCodeNames{
    {"invalid_argument", "not_found", "conflict", "too_large", "unavailable",
     "timeout", "rate_limited", "outcome_unknown", "corrupt", "internal",
     "unauthorized"}};

/*! \brief Error code with the object concerned and a message. */
struct Error {
  //! Kind of the error.
  ErrorCode code = ErrorCode::kInternal;
  //! Field, key, file position or peer that the error concerns; may be empty.
  std::string subject;
  //! What was found and what was expected.
  std::string message;

  [[nodiscard]] bool operator==(const Error&) const = default;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_ERROR_H_
