// Half-open range of hashed keys, the unit in which coverage is measured.
#ifndef JACINTHDECK_QUERY_KEY_RANGE_H_
#define JACINTHDECK_QUERY_KEY_RANGE_H_

#include <compare>
#include <cstdint>

namespace jacinthdeck {

//! One past the highest hashed key. Keys are 32-bit hashes.
inline constexpr std::uint64_t kKeySpaceEnd = std::uint64_t{1} << 32U;

/*! \brief Keys from begin (inclusive) to end (exclusive). */
struct KeyRange {
  std::uint64_t begin = 0;
  //! At least begin and at most kKeySpaceEnd.
  std::uint64_t end = 0;

  [[nodiscard]] auto operator<=>(const KeyRange&) const = default;
  [[nodiscard]] bool operator==(const KeyRange&) const = default;

  /*! \brief Returns whether a hashed key lies in the range. */
  [[nodiscard]] constexpr bool Contains(std::uint64_t key) const noexcept {
    return key >= begin && key < end;
  }
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_KEY_RANGE_H_
