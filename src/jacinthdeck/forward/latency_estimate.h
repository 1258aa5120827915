// What an answer of a route usually takes, and whether that is known.
#ifndef JACINTHDECK_FORWARD_LATENCY_ESTIMATE_H_
#define JACINTHDECK_FORWARD_LATENCY_ESTIMATE_H_

#include <cstdint>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Average latency of a route's answers. */
struct LatencyEstimate {
  Duration mean{};
  //! Answers that it was measured on; 0: it is a guess.
  std::uint64_t samples = 0;

  [[nodiscard]] bool is_measured() const noexcept { return samples > 0; }
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_LATENCY_ESTIMATE_H_
