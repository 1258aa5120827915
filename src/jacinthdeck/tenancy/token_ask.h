// A token request that may still be answered.
#ifndef JACINTHDECK_TENANCY_TOKEN_ASK_H_
#define JACINTHDECK_TENANCY_TOKEN_ASK_H_

#include <cstdint>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/tenancy/rate_message.h"

namespace jacinthdeck {

/*! \brief A token request that was sent and may still be answered. */
struct TokenAsk {
  HostId to;
  TokenRequest request;
  //! The requests that wait, in the order of all demands.
  std::vector<CallId> calls;
  TimePoint first_sent;
  std::uint32_t times_sent = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_TOKEN_ASK_H_
