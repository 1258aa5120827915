// The one answer that a call gets.
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

/*! \brief Why an answer is not whole. */
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

//! Names of the reasons, as they stand in answers.
inline constexpr NameTable<AnswerReason, 11> kAnswerReasonNames{
    {"none", "deadline", "no_replica", "overload", "tenant_limit",
     "quarantined", "version_gone", "target_failed", "draining", "not_ready",
     "elsewhere"}};

/*! \brief Final answer to a call. */
struct Answer {
  Outcome outcome = Outcome::kNotRun;
  AnswerReason reason = AnswerReason::kNone;
  //! Snapshot that every hit comes from; nothing where no version was read.
  std::optional<IndexVersion> version;
  //! Key ranges that answered, disjoint and ordered.
  std::vector<KeyRange> covered;
  //! Key ranges asked for that did not answer, disjoint and ordered.
  std::vector<KeyRange> missing;
  std::vector<Hit> hits;
  //! Sum of the shards' counts, for MergeRule::kCount.
  std::uint64_t count = 0;
  //! Requests sent to targets for this call.
  std::uint32_t attempts = 0;
  //! Of these, hedges.
  std::uint32_t hedges = 0;
  //! Of these, retries.
  std::uint32_t retries = 0;
  //! When a refused caller may come back; nothing where coming back is
  //! pointless or not needed.
  std::optional<Duration> retry_after;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_ANSWER_H_
