// Divides what an account may use between buckets and reserves.
#ifndef JACINTHDECK_TENANCY_RATE_PLAN_H_
#define JACINTHDECK_TENANCY_RATE_PLAN_H_

#include <cstdint>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Tolerance of all limits. */
struct RateTolerance {
  Duration window = std::chrono::seconds(5);
  double overshoot = 0;
  double slack = 0;
};

/**
 * \brief Parts of an account's bound, summed over all hosts.
 *
 * The bound of a window is (rate * window + burst) * (1 + overshoot) + slack.
 * docs/modules/rate_limits.md holds the proof that the parts stay within it.
 */
struct RatePlan {
  //! Tokens a second and size of the buckets of all hosts together.
  double rate = 0;
  double burst = 0;
  //! The host with more than half of the shares may hold one whole token even
  //! if its part of the burst is less. At most one host has that much.
  bool whole_token = false;
  //! Requests that all fronts together may admit from their reserves within a
  //! window.
  std::uint32_t reserve = 0;
  //! The same for processes within a window after their start. The bound holds
  //! the sum of both, because the previous process of a host may have spent its
  //! reserve just before it ended.
  std::uint32_t start_reserve = 0;

  [[nodiscard]] bool operator==(const RatePlan&) const = default;
};

/*! \brief Longest time from a token's deduction to the admission of its
 * request. Answers that are older are ignored. */
inline constexpr Duration kGrantLifetime = std::chrono::milliseconds(60);

/*! \brief Divides the bound of an account with this limit. */
[[nodiscard]] RatePlan PlanRate(double rate,
                                double burst,
                                const RateTolerance& tolerance);

/**
 * \brief Returns the part of a reserve that one front holds.
 *
 * What is left after an equal division goes to the first fronts in the order in
 * which they become allocators, so that the allocator has a reserve even if
 * there are more fronts than requests in reserve.
 * \param reserve Requests in reserve at all fronts.
 * \param sharers Number of fronts that divide the reserve.
 * \param rank Position of the front in that order, from 0.
 */
[[nodiscard]] std::uint32_t ReserveOf(std::uint32_t reserve,
                                      std::uint32_t sharers,
                                      std::uint32_t rank) noexcept;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_RATE_PLAN_H_
