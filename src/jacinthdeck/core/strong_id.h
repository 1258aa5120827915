// Strongly typed identifiers.
#ifndef JACINTHDECK_CORE_STRONG_ID_H_
#define JACINTHDECK_CORE_STRONG_ID_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace jacinthdeck {

/**
 * \brief Wraps a raw value so that only identifiers of the same kind can be
 * compared and assigned.
 * \tparam Tag Type that names the kind; it needs no definition.
 * \tparam Raw Underlying type, an integer or a string.
 */
template <typename Tag, typename Raw>
class StrongId {
 public:
  using raw_type = Raw;

  constexpr StrongId() = default;
  constexpr explicit StrongId(Raw raw) noexcept : m_raw(std::move(raw)) {}

  /*! \brief Returns the underlying value. */
  [[nodiscard]] constexpr const Raw& raw() const noexcept { return m_raw; }

  [[nodiscard]] constexpr auto operator<=>(const StrongId&) const = default;
  [[nodiscard]] constexpr bool operator==(const StrongId&) const = default;

 private:
  Raw m_raw{};
};

}  // namespace jacinthdeck

/*! \brief Hash of an identifier, for keys of unordered containers. */
template <typename Tag, typename Raw>
struct std::hash<jacinthdeck::StrongId<Tag, Raw>> {
  [[nodiscard]] std::size_t operator()(
      const jacinthdeck::StrongId<Tag, Raw>& id) const noexcept {
    return std::hash<Raw>{}(id.raw());
  }
};

#endif  // JACINTHDECK_CORE_STRONG_ID_H_
