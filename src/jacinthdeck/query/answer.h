// Final answer to a call.
#ifndef JACINTHDECK_QUERY_ANSWER_H_
#define JACINTHDECK_QUERY_ANSWER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/outcome.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/query/hit.h"
#include "jacinthdeck/query/key_range.h"

namespace jacinthdeck {

/*! \brief Why an answer does not cover every key range asked for. */
enum class AnswerReason {
  kNone,
  kDeadline,
  kNoReplica,
  kOverload,
  kTenantLimit,
  kQuarantined,
  kVersionGone,
  kTargetFailed,
  kDraining,
  kNotReady,
  kElsewhere,
};

//! Names of the reasons as written in answers.
inline constexpr NameTable<AnswerReason, 11> kAnswerReasonNames{
    {"none", "deadline", "no_replica", "overload", "tenant_limit",
     "quarantined", "version_gone", "target_failed", "draining", "not_ready",
     "elsewhere"}};

/*! \brief Final answer to a call; each call gets at most one. */
struct Answer {
  Outcome outcome = Outcome::kNotRun;
  AnswerReason reason = AnswerReason::kNone;
  //! Index version that every hit comes from; empty if no shard answered.
  std::optional<IndexVersion> version;
  //! Key ranges of the shards that answered, disjoint and ordered.
  std::vector<KeyRange> covered;
  //! Key ranges asked for but not answered, disjoint and ordered.
  std::vector<KeyRange> missing;
  std::vector<Hit> hits;
  //! Sum of the shards' counts; set for MergeRule::kCount only.
  std::uint64_t count = 0;
  //! Requests sent to targets for this call, hedges and retries included.
  std::uint32_t attempts = 0;
  //! Number of attempts that were hedges.
  std::uint32_t hedges = 0;
  //! Number of attempts that were retries.
  std::uint32_t retries = 0;
  //! Time after which the caller may send the call again; empty if a resend is
  //! not needed or not allowed.
  std::optional<Duration> retry_after;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_ANSWER_H_
