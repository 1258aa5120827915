// Kinds and final statuses of an attempt, a request to one target.
#ifndef JACINTHDECK_ROUTING_ATTEMPT_H_
#define JACINTHDECK_ROUTING_ATTEMPT_H_

#include "jacinthdeck/core/name_table.h"

namespace jacinthdeck {

/*! \brief Reason for an attempt. */
enum class AttemptKind { kFirst, kRetry, kHedge };

//! Names of the attempt kinds in logs and metrics.
inline constexpr NameTable<AttemptKind, 3> kAttemptKindNames{
    {"first", "retry", "hedge"}};

/*! \brief How an attempt ended. */
enum class AttemptStatus {
  //! The target answered for the requested version and range.
  kAnswered,
  //! The target does not serve the version any more, or not yet.
  kVersionGone,
  //! The target does not hold the range in this version.
  kWrongRange,
  //! The target rejected the request before executing it, because it was out of
  //! slots, draining or in a cold start.
  kShed,
  //! No byte of the request left this host.
  kNotSent,
  //! The connection closed after bytes were sent; the request may have been
  //! executed.
  kLost,
  //! No reply arrived before the attempt's timeout.
  kTimedOut,
  //! The target returned an error; it may have executed the request.
  kFailed,
  //! This host cancelled the attempt: another attempt answered first, or the
  //! call ended.
  kCancelled,
};

//! Names of the attempt statuses in logs and metrics.
inline constexpr NameTable<AttemptStatus, 9> kAttemptStatusNames{
    {"answered", "version_gone", "wrong_range", "shed", "not_sent", "lost",
     "timed_out", "failed", "cancelled"}};

/**
 * \brief Checks whether a status proves that the target did not execute the
 * request.
 * \param status Final status of the attempt.
 * \return True only if the call may be reported as "not run".
 */
[[nodiscard]] constexpr bool ProvesNotRun(AttemptStatus status) noexcept {
  return status == AttemptStatus::kVersionGone ||
         status == AttemptStatus::kWrongRange ||
         status == AttemptStatus::kShed || status == AttemptStatus::kNotSent;
}

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_ATTEMPT_H_
