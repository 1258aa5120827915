// Decision on a request from the tokens of one host.
#ifndef JACINTHDECK_TENANCY_TOKEN_DECISION_H_
#define JACINTHDECK_TENANCY_TOKEN_DECISION_H_

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Decision on a request from the tokens of one host. */
struct TokenDecision {
  enum class Outcome {
    kGranted,
    kLimited,
    //! This host holds no share of the limit, so it cannot tell.
    kNoShare,
  };

  Outcome outcome = Outcome::kNoShare;
  //! With kLimited: time after which the request is granted.
  Duration retry_after{};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_TOKEN_DECISION_H_
