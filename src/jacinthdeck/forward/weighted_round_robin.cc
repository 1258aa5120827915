// Each request adds its weight to the credit of every service; the service with
// the most credit is chosen and pays the sum of the weights.
#include "jacinthdeck/forward/weighted_round_robin.h"

#include <algorithm>

namespace jacinthdeck {

std::size_t WeightedRoundRobin::Next(
    std::span<const WeightedService> services) {
  m_credit.resize(services.size(), 0);
  double total = 0;
  for (std::size_t index = 0; index < services.size(); ++index) {
    m_credit[index] += services[index].weight;
    total += services[index].weight;
  }
  const auto chosen = std::ranges::max_element(m_credit);
  *chosen -= total;
  return static_cast<std::size_t>(chosen - m_credit.begin());
}

}  // namespace jacinthdeck
