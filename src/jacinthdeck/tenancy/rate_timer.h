// Key of a timer of the rate limiter.
#ifndef JACINTHDECK_TENANCY_RATE_TIMER_H_
#define JACINTHDECK_TENANCY_RATE_TIMER_H_

#include <cstdint>

namespace jacinthdeck {

/*! \brief Key of a timer of the rate limiter. */
struct RateTimer {
  enum class Kind {
    //! Ask the other fronts for their shares.
    kShares,
    //! Report what was admitted from reserves.
    kReport,
    //! Forget what is not in use.
    kForget,
    //! Repeat a token request; `id` is its number.
    kRepeat,
    //! Ask again for a request; `id` is its call.
    kAskAgain,
    //! Decide on a request; `id` is its call.
    kDecide,
  };

  Kind kind = Kind::kShares;
  std::uint64_t id = 0;

  [[nodiscard]] auto operator<=>(const RateTimer&) const = default;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_RATE_TIMER_H_
