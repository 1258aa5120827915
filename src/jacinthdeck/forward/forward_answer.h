// The one answer to a forwarded call.
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

/*! \brief What a caller is told. */
enum class AnswerKind {
  //! A target's response, passed on unchanged.
  kResponse,
  //! The greatest records of several shards.
  kMerged,
  //! No target ran any part of the request, and none will.
  kNotRun,
  //! It failed and may have run.
  kFailed,
  //! The time was up and it may have run.
  kTimedOut,
  //! No route takes it.
  kNoRoute,
};

//! Names of the kinds, for logs and metrics.
inline constexpr NameTable<AnswerKind, 6> kAnswerKindNames{
    {"response", "merged", "not_run", "failed", "timed_out", "no_route"}};

/*! \brief Why an answer is no success of all shards. */
enum class ForwardReason {
  kNone,
  kNoConfig,
  kNoRoute,
  kNoTarget,
  kOverload,
  kDeadline,
  kTargetsFailed,
  kCrashesTargets,
  //! Shards were left out so that the answer came in time.
  kLeftOut,
};

//! Names of the reasons, for logs and metrics.
inline constexpr NameTable<ForwardReason, 9> kForwardReasonNames{
    {"none", "no_config", "no_route", "no_target", "overload", "deadline",
     "targets_failed", "crashes_targets", "left_out"}};

/*! \brief Final answer to a forwarded call. */
struct ForwardAnswer {
  AnswerKind kind = AnswerKind::kNotRun;
  ForwardReason reason = ForwardReason::kNone;
  //! With kResponse.
  TargetResponse response;
  //! With kMerged: stamps of the parts that are in.
  std::vector<std::string> part_stamps;
  //! With kMerged: shards that are left out.
  std::uint32_t missing_parts = 0;
  //! With kMerged: the records.
  std::string records;
  //! With kNotRun: when to come back.
  std::optional<Duration> retry_after;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_FORWARD_ANSWER_H_
