// Token bucket that limits the rate of calls of one kind.
#ifndef JACINTHDECK_STANDINS_STORE_RATE_LIMIT_H_
#define JACINTHDECK_STANDINS_STORE_RATE_LIMIT_H_

#include <algorithm>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck::standins {

/*! \brief Token bucket that holds the calls of one second: after an idle second
 * that many calls are admitted at once. */
class RateLimit {
 public:
  explicit RateLimit(double per_second) noexcept
      : m_per_second(per_second), m_tokens(per_second) {}

  /*! \brief Refills the bucket up to `now` and takes a token; false if none is
   * left. */
  [[nodiscard]] bool Take(TimePoint now) noexcept {
    const double seconds = ToMilliseconds(now - m_last_refill) / 1000.0;
    m_tokens = std::min(m_per_second, m_tokens + seconds * m_per_second);
    m_last_refill = now;
    if (m_tokens < 1) {
      return false;
    }
    m_tokens -= 1;
    return true;
  }

  /*! \brief Replaces the rate, in calls per second. */
  void set_rate(double per_second) noexcept { m_per_second = per_second; }

 private:
  double m_per_second;
  //! Tokens left, between 0 and m_per_second after each Take().
  double m_tokens;
  TimePoint m_last_refill{};
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_STORE_RATE_LIMIT_H_
