// Verdict of the rate limiter on a request.
#ifndef JACINTHDECK_TENANCY_RATE_VERDICT_H_
#define JACINTHDECK_TENANCY_RATE_VERDICT_H_

#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief What becomes of a request. */
enum class RateDecision {
  kAdmitted,
  //! The verdict follows through RateLimiterPort::OnRateVerdict().
  kPending,
  //! The account is above its limit.
  kLimited,
  //! Whether the account is above its limit cannot be found out in time.
  kUnknown,
};

//! Names of the decisions, for logs and metrics.
inline constexpr NameTable<RateDecision, 4> kRateDecisionNames{
    {"admitted", "pending", "limited", "unknown"}};

/*! \brief Verdict on a request. */
struct RateVerdict {
  RateDecision decision = RateDecision::kAdmitted;
  //! With kLimited and kUnknown: time after which a caller who waits is served.
  Duration retry_after{};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_RATE_VERDICT_H_
