// State of a rate limiter as status pages, logs and metrics show it.
#ifndef JACINTHDECK_TENANCY_RATE_LIMITER_STATUS_H_
#define JACINTHDECK_TENANCY_RATE_LIMITER_STATUS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief State of one account in use at this host. */
struct RateAccountStatus {
  TenantId tenant;
  //! The account's limit over all hosts, in requests a second.
  double rate = 0;
  double burst = 0;
  //! Verdicts of this host since the account came into use here.
  std::uint64_t admitted = 0;
  std::uint64_t limited = 0;
  std::uint64_t unknown = 0;
  //! Requests that wait for a verdict.
  std::uint64_t pending = 0;
  //! Tokens in the bucket of this host.
  double level = 0;
  //! Requests that this host can still admit from its reserve.
  std::uint32_t reserve = 0;
  //! Sum of the shares of the limit that this host uses.
  double lease_sum = 0;
  //! Host that this host asks for tokens; empty if no host is known.
  HostId allocator;
  //! Time since the allocator's last answer on this account.
  std::optional<Duration> answer_age;
};

/*! \brief Messages since the start. */
struct RateMessageCounts {
  std::uint64_t share_requests_sent = 0;
  std::uint64_t share_leases_sent = 0;
  std::uint64_t token_requests_sent = 0;
  std::uint64_t token_requests_repeated = 0;
  std::uint64_t token_grants_sent = 0;
  std::uint64_t received = 0;
  //! Late, repeated or foreign messages that had no effect.
  std::uint64_t ignored = 0;
};

/*! \brief State of a rate limiter. */
struct RateLimiterStatus {
  //! Whether any account has a limit.
  bool active = false;
  std::uint32_t sharers = 0;
  //! This host's share of each limit.
  double share = 0;
  //! Partitions for which this host holds itself to be the allocator.
  std::uint32_t partitions = 0;
  std::vector<RateAccountStatus> accounts;
  RateMessageCounts messages;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_RATE_LIMITER_STATUS_H_
