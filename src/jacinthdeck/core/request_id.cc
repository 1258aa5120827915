// Text form of request ids.
#include "jacinthdeck/core/request_id.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <system_error>

namespace jacinthdeck {

namespace internal {

constexpr std::size_t kMaxPartLength = 64;

[[nodiscard]] bool IsIdCharacter(char c) noexcept {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_';
}

[[nodiscard]] bool IsIdPart(std::string_view part) noexcept {
  return !part.empty() && part.size() <= kMaxPartLength &&
         std::ranges::all_of(part, IsIdCharacter);
}

[[nodiscard]] std::optional<std::uint64_t> ParseNumber(
    std::string_view text) noexcept {
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace internal

std::string RequestId::ToString() const {
  return node.raw() + "." + std::to_string(incarnation.raw()) + "." + nonce;
}

std::optional<RequestId> RequestId::Parse(std::string_view text) {
  const std::size_t first = text.find('.');
  const std::size_t second =
      first == text.npos ? text.npos : text.find('.', first + 1);
  if (second == text.npos) {
    return std::nullopt;
  }
  const std::string_view node = text.substr(0, first);
  const std::string_view nonce = text.substr(second + 1);
  const auto incarnation =
      internal::ParseNumber(text.substr(first + 1, second - first - 1));
  if (!internal::IsIdPart(node) || !internal::IsIdPart(nonce) || !incarnation) {
    return std::nullopt;
  }
  return RequestId{NodeId(std::string(node)), Incarnation(*incarnation),
                   std::string(nonce)};
}

}  // namespace jacinthdeck
