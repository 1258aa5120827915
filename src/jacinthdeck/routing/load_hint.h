// Load that a target reported of itself, with bounded influence.
#ifndef JACINTHDECK_ROUTING_LOAD_HINT_H_
#define JACINTHDECK_ROUTING_LOAD_HINT_H_

#include <algorithm>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/**
 * \brief Last load reported, fading with its age.
 *
 * Reports lag or lie. One that says "idle" must not draw all work to a target
 * that is stuck, and one that says "full" must not empty a sound one. The hint
 * is worth at most one request in flight, and nothing once it is old.
 */
class LoadHint {
 public:
  /*! \brief Takes a report; values outside [0, 1] are clamped. */
  void Add(double load, TimePoint now) noexcept {
    m_load = load >= 0 ? std::min(load, 1.0) : 0;
    m_reported_at = now;
  }

  /**
   * \brief Gives the worth of the hint.
   * \param now Present time.
   * \param lifetime Age at which it is worth nothing, above zero.
   * \return Requests in flight that it counts as, 0 to 1.
   */
  [[nodiscard]] double Value(TimePoint now, Duration lifetime) const noexcept {
    const auto age = static_cast<double>((now - m_reported_at).count());
    const double remaining = 1 - age / static_cast<double>(lifetime.count());
    return m_load * std::max(remaining, 0.0);
  }

 private:
  //! Between 0 and 1.
  double m_load = 0;
  TimePoint m_reported_at{};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_LOAD_HINT_H_
