// Positions of the store for tests.
#ifndef JACINTHDECK_TEST_SUPPORT_POSITIONS_H_
#define JACINTHDECK_TEST_SUPPORT_POSITIONS_H_

#include <cstdint>
#include <ostream>

#include "jacinthdeck/discovery/store_types.h"

namespace jacinthdeck {

//! A revision of an era; the first one unless it is named.
[[nodiscard]] constexpr StorePosition At(std::uint64_t revision,
                                         std::uint64_t era = 1) {
  return {StoreEra(era), revision};
}

inline std::ostream& operator<<(std::ostream& out,
                                const StorePosition& position) {
  return out << EraNumber(position.era) << ":" << position.revision;
}

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TEST_SUPPORT_POSITIONS_H_
