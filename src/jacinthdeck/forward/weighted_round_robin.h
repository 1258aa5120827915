// Distributes whole requests among the services of a route by weight.
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
 * A random choice would leave a service with few requests far from its weight,
 * and a caller of a canary would notice that.
 */
class WeightedRoundRobin {
 public:
  /**
   * \brief Chooses the next service.
   * \param services At least one; the same in each call on this object.
   * \return Index into the services.
   */
  [[nodiscard]] std::size_t Next(std::span<const WeightedService> services);

 private:
  //! Credit of each service; the sum is zero.
  std::vector<double> m_credit;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_WEIGHTED_ROUND_ROBIN_H_
