// Load reported by a target, with bounded influence on replica choice.
#ifndef JACINTHDECK_ROUTING_LOAD_HINT_H_
#define JACINTHDECK_ROUTING_LOAD_HINT_H_

#include <algorithm>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/**
 * \brief Last reported load, weighted by its age.
 *
 * Load reports can be late or wrong. A report of no load must not attract all
 * requests to a stuck target, and a report of full load must not divert all
 * requests from a healthy one. The hint therefore counts as at most one request
 * in flight, and as nothing once it has expired.
 */
class LoadHint {
 public:
  /*! \brief Records a report; values outside [0, 1] are clamped. */
  void Add(double load, TimePoint now) noexcept {
    m_load = load >= 0 ? std::min(load, 1.0) : 0;
    m_reported_at = now;
  }

  /**
   * \brief Returns the weight of the hint.
   * \param now Current time.
   * \param lifetime Age at which the hint expires, above zero.
   * \return Number of requests in flight that the hint counts as, 0 to 1.
   */
  [[nodiscard]] double Value(TimePoint now, Duration lifetime) const noexcept {
    const auto age = static_cast<double>((now - m_reported_at).count());
    const double remaining = 1 - age / static_cast<double>(lifetime.count());
    return m_load * std::max(remaining, 0.0);
  }

 private:
  //! Reported load, between 0 and 1.
  double m_load = 0;
  TimePoint m_reported_at{};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_LOAD_HINT_H_
