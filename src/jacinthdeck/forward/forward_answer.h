// Final answer to a forwarded call.
#ifndef JACINTHDECK_FORWARD_FORWARD_ANSWER_H_
#define JACINTHDECK_FORWARD_FORWARD_ANSWER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/opaque_request.h"

namespace jacinthdeck {

/*! \brief What the caller of a request is told. */
enum class AnswerKind {
  //! A target's response, passed on unchanged.
  kResponse,
  //! Greatest records from the responses of several shards.
  kMerged,
  //! No target executed any part of the request, and none will.
  kNotRun,
  //! The call failed; targets may have executed the request.
  kFailed,
  //! The deadline passed; targets may have executed the request.
  kTimedOut,
  //! No route matches the request.
  kNoRoute,
  //! The request carries no key of a client account.
  kUnauthorized,
  //! The client account is above its limit; the request has not run and never
  //! will.
  kOverLimit,
};

//! Names of the kinds, for logs and metrics.
inline constexpr NameTable<AnswerKind, 8> kAnswerKindNames{
    {"response", "merged", "not_run", "failed", "timed_out", "no_route",
     "unauthorized", "over_limit"}};

/*! \brief Why an answer is not a success of all shards. */
enum class ForwardReason {
  kNone,
  kNoConfig,
  kNoRoute,
  kNoTarget,
  kOverload,
  kDeadline,
  kTargetsFailed,
  kCrashesTargets,
  //! Shards were left out so that the answer was in time.
  kLeftOut,
  kUnknownKey,
  //! Keys may have been removed since this host last heard of the store.
  kStaleKeys,
  kRateLimit,
  //! Whether the client account is above its limit could not be found out in
  //! time.
  kLimitUnknown,
  //! The host stops before an answer can be expected.
  kStopping,
};

//! Names of the reasons, for logs and metrics.
inline constexpr NameTable<ForwardReason, 14> kForwardReasonNames{
    {"none", "no_config", "no_route", "no_target", "overload", "deadline",
     "targets_failed", "crashes_targets", "left_out", "unknown_key",
     "stale_keys", "rate_limit", "limit_unknown", "stopping"}};

/*! \brief Final answer to a forwarded call. */
struct ForwardAnswer {
  AnswerKind kind = AnswerKind::kNotRun;
  ForwardReason reason = ForwardReason::kNone;
  //! Valid with kResponse.
  TargetResponse response;
  //! With kMerged: stamps of the responses in the answer.
  std::vector<std::string> part_stamps;
  //! With kMerged: number of shards missing from the answer.
  std::uint32_t missing_parts = 0;
  //! With kMerged: the merged records.
  std::string records;
  //! With kNotRun and kOverLimit: time after which the caller may send the
  //! request again.
  std::optional<Duration> retry_after;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_FORWARD_ANSWER_H_
