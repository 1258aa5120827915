// Forward declarations of the tenancy module: client accounts, their keys and
// their rate limits.
#ifndef JACINTHDECK_TENANCY_FWD_H_
#define JACINTHDECK_TENANCY_FWD_H_

namespace jacinthdeck {

class RateLimiter;
class RateLimiterPort;
class TenantTable;
struct KeyDigest;
struct RateAccountStatus;
struct RateLimiterOptions;
struct RateLimiterStatus;
struct RateMessageCounts;
struct RateRequest;
struct RateVerdict;
struct Tenant;
enum class RateDecision;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_FWD_H_
