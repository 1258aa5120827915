// When each request of an open loop is due.
#ifndef JACINTHDECK_STANDINS_LOADGEN_ARRIVALS_H_
#define JACINTHDECK_STANDINS_LOADGEN_ARRIVALS_H_

#include <cmath>
#include <cstdint>

#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck::standins {

/*! \brief Due times since the start, whatever the system under load does. */
class Arrivals {
 public:
  /**
   * \brief Makes a schedule.
   * \param rate Requests a second.
   * \param poisson Exponential gaps in place of equal ones.
   * \param seed Seed of the gaps.
   */
  Arrivals(double rate, bool poisson, std::uint64_t seed)
      : m_mean_us(1e6 / rate), m_poisson(poisson), m_random(seed) {}

  /*! \brief Due time of the next request. */
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
