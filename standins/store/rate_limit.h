// A token bucket that counts the calls of one kind.
#ifndef JACINTHDECK_STANDINS_STORE_RATE_LIMIT_H_
#define JACINTHDECK_STANDINS_STORE_RATE_LIMIT_H_

#include <algorithm>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck::standins {

/*! \brief Admits a number of calls a second, and as many at once after a quiet
 * second. */
class RateLimit {
 public:
  explicit RateLimit(double per_second) noexcept
      : m_per_second(per_second), m_tokens(per_second) {}

  /*! \brief Takes a token; false when none is left. */
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

  /*! \brief Replaces the rate. */
  void set_rate(double per_second) noexcept { m_per_second = per_second; }

 private:
  double m_per_second;
  //! Between 0 and m_per_second.
  double m_tokens;
  TimePoint m_last_refill{};
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_STORE_RATE_LIMIT_H_
