// One account in use at this host.
#ifndef JACINTHDECK_TENANCY_RATE_ACCOUNT_H_
#define JACINTHDECK_TENANCY_RATE_ACCOUNT_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/tenancy/account_tokens.h"

namespace jacinthdeck {

/*! \brief State of one account in use at this host. */
struct RateAccount {
  AccountTokens tokens;
  std::size_t partition = 0;
  //! The limit as configured.
  double rate = 0;
  double burst = 0;
  //! Requests admitted from the reserve that the allocator does not know of.
  //! The sum with `reported` is at most the unpaid part of the reserve.
  std::uint32_t unreported = 0;
  //! Those of which a report is under way.
  std::uint32_t reported = 0;
  //! When the next report is due.
  TimePoint report_at;
  //! Until then other fronts are not asked for requests of their reserves,
  //! because one had none left.
  TimePoint reserves_spent_until;
  std::uint64_t admitted = 0;
  std::uint64_t limited = 0;
  std::uint64_t unknown = 0;
  std::uint64_t pending = 0;
  std::optional<TimePoint> answered;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_RATE_ACCOUNT_H_
