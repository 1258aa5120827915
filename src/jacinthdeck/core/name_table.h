// Constexpr tables that map enumerators to names and back.
#ifndef JACINTHDECK_CORE_NAME_TABLE_H_
#define JACINTHDECK_CORE_NAME_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace jacinthdeck {

/**
 * \brief Maps the enumerators of a dense enum (0, 1, 2, ...) to names and back.
 * \tparam Enum Enum class whose values count up from zero.
 * \tparam Size Number of enumerators.
 */
template <typename Enum, std::size_t Size>
struct NameTable {
  //! Names in the order of the enumerators.
  std::array<std::string_view, Size> names;

  /**
   * \brief Looks up the name of a value.
   * \param value Enumerator of the enum.
   * \return The name, or "invalid" for a value that is not an enumerator.
   */
  [[nodiscard]] constexpr std::string_view Name(Enum value) const noexcept {
    const auto index = static_cast<std::size_t>(value);
    return index < Size ? names[index] : std::string_view("invalid");
  }

  /**
   * \brief Looks up a value by its name.
   * \param name Exact name.
   * \return The enumerator, or std::nullopt if none has this name.
   */
  [[nodiscard]] constexpr std::optional<Enum> Find(
      std::string_view name) const noexcept {
    for (std::size_t index = 0; index < Size; ++index) {
      if (names[index] == name) {
        return static_cast<Enum>(index);
      }
    }
    return std::nullopt;
  }
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_NAME_TABLE_H_
