// Half-open ranges of the hashed key space, the unit of coverage.
#ifndef JACINTHDECK_QUERY_KEY_RANGE_H_
#define JACINTHDECK_QUERY_KEY_RANGE_H_

#include <compare>
#include <cstdint>

namespace jacinthdeck {

//! One past the highest hashed key; keys are 32-bit hashes.
inline constexpr std::uint64_t kKeySpaceEnd = std::uint64_t{1} << 32U;

/*! \brief Keys from begin up to, but without, end. */
struct KeyRange {
  std::uint64_t begin = 0;
  //! Never below begin, at most kKeySpaceEnd.
  std::uint64_t end = 0;

  [[nodiscard]] auto operator<=>(const KeyRange&) const = default;
  [[nodiscard]] bool operator==(const KeyRange&) const = default;

  /*! \brief Tells whether a hashed key lies in the range. */
  [[nodiscard]] constexpr bool Contains(std::uint64_t key) const noexcept {
    return key >= begin && key < end;
  }
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_KEY_RANGE_H_
