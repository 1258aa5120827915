// Creates and prints store positions in tests.
#ifndef JACINTHDECK_TEST_SUPPORT_POSITIONS_H_
#define JACINTHDECK_TEST_SUPPORT_POSITIONS_H_

#include <cstdint>
#include <ostream>

#include "jacinthdeck/discovery/store_types.h"

namespace jacinthdeck {

//! Returns the position of a revision, in the first era by default.
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
