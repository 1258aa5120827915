// Table of the resend delays.
#include "jacinthdeck/query/retry_after.h"

#include <array>
#include <cstddef>

namespace jacinthdeck {

namespace internal {

using std::chrono::milliseconds;

//! Resend delays, indexed by AnswerReason.
constexpr std::array<milliseconds, kAnswerReasonNames.names.size()> kRetryAfter{
    milliseconds(0),      // kNone
    milliseconds(100),    // kDeadline
    milliseconds(1000),   // kNoReplica
    milliseconds(250),    // kOverload
    milliseconds(500),    // kTenantLimit
    milliseconds(10000),  // kQuarantined
    milliseconds(250),    // kVersionGone
    milliseconds(500),    // kTargetFailed
    milliseconds(0),      // kDraining: at once, to another host
    milliseconds(1000),   // kNotReady
    milliseconds(0),      // kElsewhere
};

}  // namespace internal

Duration RetryAfter(AnswerReason reason) noexcept {
  return internal::kRetryAfter.at(static_cast<std::size_t>(reason));
}

}  // namespace jacinthdeck
