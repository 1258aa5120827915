// Identifiers that cannot be mixed up: one type for each kind of thing.
#ifndef JACINTHDECK_CORE_STRONG_ID_H_
#define JACINTHDECK_CORE_STRONG_ID_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace jacinthdeck {

/**
 * \brief Wraps a raw value so that only identifiers of the same kind compare
 * and assign. \tparam Tag Empty type that names the kind. \tparam Raw
 * Underlying type, an integer or a string.
 */
template <typename Tag, typename Raw>
class StrongId {
 public:
  using raw_type = Raw;

  constexpr StrongId() = default;
  constexpr explicit StrongId(Raw raw) noexcept : m_raw(std::move(raw)) {}

  /*! \brief Gives the underlying value. */
  [[nodiscard]] constexpr const Raw& raw() const noexcept { return m_raw; }

  [[nodiscard]] constexpr auto operator<=>(const StrongId&) const = default;
  [[nodiscard]] constexpr bool operator==(const StrongId&) const = default;

 private:
  Raw m_raw{};
};

}  // namespace jacinthdeck

/*! \brief Lets identifiers be keys of unordered containers. */
template <typename Tag, typename Raw>
struct std::hash<jacinthdeck::StrongId<Tag, Raw>> {
  [[nodiscard]] std::size_t operator()(
      const jacinthdeck::StrongId<Tag, Raw>& id) const noexcept {
    return std::hash<Raw>{}(id.raw());
  }
};

#endif  // JACINTHDECK_CORE_STRONG_ID_H_
