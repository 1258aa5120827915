// Interface through which a rate limiter acts.
#ifndef JACINTHDECK_TENANCY_RATE_LIMITER_PORT_H_
#define JACINTHDECK_TENANCY_RATE_LIMITER_PORT_H_

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/tenancy/rate_message.h"
#include "jacinthdeck/tenancy/rate_verdict.h"

namespace jacinthdeck {

/**
 * \brief Carries out the decisions of a rate limiter.
 *
 * No function may call the rate limiter before it returns.
 */
class RateLimiterPort {
 public:
  virtual ~RateLimiterPort() = default;

  /*! \brief Sends a message to another host. It may be lost, delayed, repeated
   * or overtaken by a later one. */
  virtual void SendRateMessage(const HostId& to,
                               const RateMessage& message) = 0;

  /*! \brief Delivers the verdict on a request that was pending. */
  virtual void OnRateVerdict(CallId call, const RateVerdict& verdict) = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_RATE_LIMITER_PORT_H_
