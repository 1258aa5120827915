// Mean latency of the answers of a route, and whether it was measured.
#ifndef JACINTHDECK_FORWARD_USUAL_LATENCY_H_
#define JACINTHDECK_FORWARD_USUAL_LATENCY_H_

#include <cstdint>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Mean latency of the answers of a route. */
struct LatencyEstimate {
  Duration mean{};
  //! Number of answers that the mean was measured on; 0 if it is assumed.
  std::uint64_t samples = 0;

  [[nodiscard]] bool is_measured() const noexcept { return samples > 0; }
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_USUAL_LATENCY_H_
