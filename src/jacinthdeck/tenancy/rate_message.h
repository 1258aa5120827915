// Messages between the rate limiters of the hosts.
#ifndef JACINTHDECK_TENANCY_RATE_MESSAGE_H_
#define JACINTHDECK_TENANCY_RATE_MESSAGE_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief An allocator asks a host to lease it its share of the limits. */
struct ShareRequest {
  //! Repeated in the answer. The allocator counts the lease from when it sent
  //! the request with this number, so a delayed answer extends no lease.
  std::uint64_t nonce = 0;
};

/*! \brief A host leases its share of the limits of some partitions. */
struct ShareLease {
  std::uint64_t nonce = 0;
  //! Share of each limit that the host holds, from 0 to 1.
  double share = 0;
  //! Bit i is set if the share of partition i is leased. Accounts are assigned
  //! to partitions by a hash of their name.
  std::uint64_t partitions = 0;
};

/*! \brief Demand of a host for one account. */
struct TokenDemand {
  TenantId tenant;
  //! Requests that the host admitted from its reserve since the last demand.
  std::uint32_t spent = 0;
  //! Hash of each request that waits for a token; the same request sent again
  //! by its caller has the same hash.
  std::vector<std::uint64_t> waiting;
};

/*! \brief A host asks an allocator for tokens. */
struct TokenRequest {
  //! Increases with each request of a host's process. A request that is sent
  //! again keeps its number and is counted once.
  std::uint64_t number = 0;
  //! Start of the process of the sender in Unix milliseconds.
  std::uint64_t started_ms = 0;
  std::vector<TokenDemand> demands;
};

/*! \brief Decision of an allocator on one account. */
struct TokenAward {
  TenantId tenant;
  //! How many of the waiting requests are admitted; the first ones of the
  //! demand, except those in `limited`.
  std::uint32_t granted = 0;
  //! How many of the spent tokens the account had.
  std::uint32_t settled = 0;
  //! For each waiting request that is not admitted, in the order of the demand:
  //! its position there and the time after which a token is reserved for it.
  struct Limited {
    std::uint32_t position = 0;
    Duration retry_after{};
  };
  std::vector<Limited> limited;
};

/*! \brief An allocator's answer to a TokenRequest. */
struct TokenGrant {
  std::uint64_t number = 0;
  std::uint64_t started_ms = 0;
  std::vector<TokenAward> awards;
};

using RateMessage =
    std::variant<ShareRequest, ShareLease, TokenRequest, TokenGrant>;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_RATE_MESSAGE_H_
