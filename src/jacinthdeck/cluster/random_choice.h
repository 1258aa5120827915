// Random choice among nodes.
#ifndef JACINTHDECK_CLUSTER_RANDOM_CHOICE_H_
#define JACINTHDECK_CLUSTER_RANDOM_CHOICE_H_

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Puts items in random order. */
template <typename T>
void Shuffle(std::vector<T>& items, Random& random) {
  for (std::size_t left = items.size(); left > 1; --left) {
    std::swap(items[left - 1], items[random.Below(left)]);
  }
}

/*! \brief Draws up to `count` different items, in random order. */
template <typename T>
[[nodiscard]] std::vector<T> Draw(std::vector<T> items,
                                  std::size_t count,
                                  Random& random) {
  const std::size_t drawn = std::min(items.size(), count);
  for (std::size_t index = 0; index < drawn; ++index) {
    std::swap(items[index], items[index + random.Below(items.size() - index)]);
  }
  items.resize(drawn);
  return items;
}

/*! \brief Draws a length of time in [0, limit). */
[[nodiscard]] inline Duration DrawDuration(Duration limit, Random& random) {
  return Duration(static_cast<Duration::rep>(
      random.Below(static_cast<std::uint64_t>(limit.count()))));
}

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_RANDOM_CHOICE_H_
