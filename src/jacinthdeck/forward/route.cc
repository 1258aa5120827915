// Computes the number of shards that an answer needs.
#include "jacinthdeck/forward/route.h"

#include <algorithm>
#include <cmath>

namespace jacinthdeck {

std::size_t Route::min_shards() const noexcept {
  // A share such as 0.9 of 10 shards must not require 10 shards because of a
  // rounding error.
  constexpr double kRounding = 1e-9;
  const double required =
      std::ceil(min_share * static_cast<double>(shards.size()) - kRounding);
  return std::clamp<std::size_t>(
      static_cast<std::size_t>(std::max(required, 1.0)), 1,
      std::max<std::size_t>(shards.size(), 1));
}

}  // namespace jacinthdeck
