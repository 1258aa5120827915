// Kinds and ends of a request to one target.
#ifndef JACINTHDECK_ROUTING_ATTEMPT_H_
#define JACINTHDECK_ROUTING_ATTEMPT_H_

#include "jacinthdeck/core/name_table.h"

namespace jacinthdeck {

/*! \brief Why an attempt is made. */
enum class AttemptKind { kFirst, kRetry, kHedge };

//! Names of the attempt kinds, for logs and metrics.
inline constexpr NameTable<AttemptKind, 3> kAttemptKindNames{
    {"first", "retry", "hedge"}};

/*! \brief How an attempt ended. */
enum class AttemptStatus {
  //! The target answered for the version and range it was asked for.
  kAnswered,
  //! The target no longer, or not yet, serves the version.
  kVersionGone,
  //! The target does not hold the range in that version.
  kWrongRange,
  //! The target refused before running it (slots, drain, cold start).
  kShed,
  //! No byte of the request left this host.
  kNotSent,
  //! The connection ended after bytes had left; it may have run.
  kLost,
  //! No end was seen within the attempt's time.
  kTimedOut,
  //! The target ended it with an error of its own; it ran.
  kFailed,
  //! Cancelled by us, as the loser of a hedge or at the end of its call.
  kCancelled,
};

//! Names of the attempt ends, for logs and metrics.
inline constexpr NameTable<AttemptStatus, 9> kAttemptStatusNames{
    {"answered", "version_gone", "wrong_range", "shed", "not_sent", "lost",
     "timed_out", "failed", "cancelled"}};

/**
 * \brief Tells whether the target cannot have run the request.
 * \param status End of the attempt.
 * \return True only where a refusal that says "not run" would be true.
 */
[[nodiscard]] constexpr bool ProvesNotRun(AttemptStatus status) noexcept {
  return status == AttemptStatus::kVersionGone ||
         status == AttemptStatus::kWrongRange ||
         status == AttemptStatus::kShed || status == AttemptStatus::kNotSent;
}

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_ATTEMPT_H_
