// Requests and limits of client accounts for metrics and the status page.
#ifndef JACINTHDECK_ENTRY_ACCOUNT_REPORT_H_
#define JACINTHDECK_ENTRY_ACCOUNT_REPORT_H_

#include <string>

#include "jacinthdeck/entry/account_counters.h"
#include "jacinthdeck/entry/log_line.h"
#include "jacinthdeck/entry/rate_limit_hub.h"
#include "jacinthdeck/peer/rate_limit_socket.h"
#include "jacinthdeck/tenancy/rate_limiter_status.h"

namespace jacinthdeck {

/*! \brief What a host knows of its client accounts. Holds no key. */
struct AccountReport {
  const AccountCounters& requests;
  const RateLimiterStatus& limits;
  const RateLimitCounters& messages;
  const RateLimitSocketCounters& traffic;
};

/*! \brief Renders the metrics in the Prometheus text format: the accounts with
 * most requests, and the sum of the rest. */
[[nodiscard]] std::string RenderAccountMetrics(const AccountReport& report);

/*! \brief Formats the accounts in use with the inputs of their decisions as a
 * JSON object. */
[[nodiscard]] std::string AccountsText(const AccountReport& report);

/*! \brief Adds the inputs of the decisions on an account to a line. */
void AddLimit(LogLine& line, const RateAccountStatus& limit);

/*! \brief Returns the state of an account in a limiter; null if it is not in
 * use. */
[[nodiscard]] const RateAccountStatus* FindAccount(
    const RateLimiterStatus& limits,
    const TenantId& tenant);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_ACCOUNT_REPORT_H_
