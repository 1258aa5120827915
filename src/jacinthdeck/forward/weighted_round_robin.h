// Splits whole requests among the services of a route.
#ifndef JACINTHDECK_FORWARD_WEIGHTED_ROUND_ROBIN_H_
#define JACINTHDECK_FORWARD_WEIGHTED_ROUND_ROBIN_H_

#include <cstddef>
#include <span>
#include <vector>

#include "jacinthdeck/forward/route.h"

namespace jacinthdeck {

/**
 * \brief Smooth weighted round robin: after any number of requests each service
 * is less than one request away from its share.
 *
 * A random draw would leave a service of few requests far from its weight, and
 * a caller of a canary would see that.
 */
class WeightedRoundRobin {
 public:
  /**
   * \brief Picks the next service.
   * \param services At least one; the same on each call between two resets.
   * \return Index into the services.
   */
  [[nodiscard]] std::size_t Next(std::span<const WeightedService> services);

 private:
  //! What each service is owed; sums to zero.
  std::vector<double> m_credit;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_WEIGHTED_ROUND_ROBIN_H_
