// Typed errors: what went wrong, where, and what to do next.
#ifndef JACINTHDECK_CORE_ERROR_H_
#define JACINTHDECK_CORE_ERROR_H_

#include <string>

#include "jacinthdeck/core/name_table.h"

namespace jacinthdeck {

/*! \brief Kind of an error; callers branch on this, never on the text. */
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
};

//! Names of the error codes, as they stand in replies and logs.
inline constexpr NameTable<ErrorCode, 10> kErrorCodeNames{
    {"invalid_argument", "not_found", "conflict", "too_large", "unavailable",
     "timeout", "rate_limited", "outcome_unknown", "corrupt", "internal"}};

/*! \brief An error as a value. */
struct Error {
  //! Kind of the error.
  ErrorCode code = ErrorCode::kInternal;
  //! Field, key, file position or peer that the error is about; may be empty.
  std::string subject;
  //! What was found and what was expected.
  std::string message;

  [[nodiscard]] bool operator==(const Error&) const = default;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_ERROR_H_
