// A request that waits for tokens.
#ifndef JACINTHDECK_TENANCY_PENDING_REQUEST_H_
#define JACINTHDECK_TENANCY_PENDING_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief A request that waits for the answer of a host. */
struct PendingRequest {
  TenantId tenant;
  std::uint64_t request_hash = 0;
  TimePoint decide_by;
  //! Number of hosts in a row that answered without a decision.
  std::size_t undecided = 0;
  //! Token requests for it that may still be answered.
  std::uint32_t asks = 0;
  //! When the token is due that an allocator reserved for it. Other fronts are
  //! asked for a request of their reserves before the request is refused.
  std::optional<TimePoint> due;
  //! How many of them were asked.
  std::uint32_t reserves_asked = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_PENDING_REQUEST_H_
