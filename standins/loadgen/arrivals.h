// Arrival process of an open-loop load: the due time of each request.
#ifndef JACINTHDECK_STANDINS_LOADGEN_ARRIVALS_H_
#define JACINTHDECK_STANDINS_LOADGEN_ARRIVALS_H_

#include <cmath>
#include <cstdint>

#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck::standins {

/*! \brief Generates due times, relative to the start of a run, that do not
 * depend on the replies of the system under load. */
class Arrivals {
 public:
  /**
   * \brief Creates the arrival process.
   * \param rate Mean number of requests per second, above 0.
   * \param poisson True for exponentially distributed gaps between requests,
   * false for equal gaps.
   * \param seed Seed of the random gaps.
   */
  Arrivals(double rate, bool poisson, std::uint64_t seed)
      : m_mean_us(1e6 / rate), m_poisson(poisson), m_random(seed) {}

  /*! \brief Returns the due time of the next request, since the start. */
  [[nodiscard]] Duration Next() {
    const Duration due(static_cast<Duration::rep>(m_next_us));
    m_next_us +=
        m_poisson ? -m_mean_us * std::log(1 - m_random.Unit()) : m_mean_us;
    return due;
  }

 private:
  double m_mean_us;
  bool m_poisson;
  Random m_random;
  double m_next_us = 0;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_LOADGEN_ARRIVALS_H_
