// Interface through which the gate asks for tokens of the accounts' limits.
#ifndef JACINTHDECK_ENTRY_REQUEST_LIMITER_H_
#define JACINTHDECK_ENTRY_REQUEST_LIMITER_H_

#include <memory>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/tenancy/rate_limiter.h"
#include "jacinthdeck/tenancy/rate_verdict.h"
#include "jacinthdeck/tenancy/tenant_table.h"

namespace jacinthdeck {

/**
 * \brief Decides whether requests are within the limits of their accounts.
 *
 * Verdicts on pending requests go to TenantGate::OnVerdict(). The functions
 * correspond to those of RateLimiter.
 */
class RequestLimiter {
 public:
  virtual ~RequestLimiter() = default;

  /*! \brief Sets the accounts and their limits. */
  virtual void SetTenants(std::shared_ptr<const TenantTable> tenants,
                          TimePoint now) = 0;

  /*! \brief Decides on a request. */
  [[nodiscard]] virtual RateVerdict Admit(const RateRequest& request,
                                          TimePoint now) = 0;

  /*! \brief Drops a pending request; no verdict on it follows. */
  virtual void Cancel(CallId call, TimePoint now) = 0;

  /*! \brief Gives back the token of an admitted request that did not run. */
  virtual void Refund(const TenantId& tenant, TimePoint now) = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_REQUEST_LIMITER_H_
