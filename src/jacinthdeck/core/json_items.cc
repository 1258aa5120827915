// Finds the bounds of the items by their brackets and strings, and leaves all
// further checks to jansson.
#include "jacinthdeck/core/json_items.h"

#include <cstddef>
#include <optional>
#include <string>
#include <utility>

#include "jacinthdeck/core/json.h"

namespace jacinthdeck {

namespace {

constexpr std::string_view kSpaces = " \t\r\n";

//! Bounds of the array and of its items within the text.
struct ArrayBounds {
  //! After the opening bracket.
  std::size_t begin = 0;
  //! At the closing bracket.
  std::size_t end = 0;
  std::vector<std::string_view> items;
};

//! Returns the position after a string that begins at a quote; npos if it does
//! not end.
[[nodiscard]] std::size_t SkipString(std::string_view text, std::size_t quote) {
  std::size_t at = text.find_first_of("\"\\", quote + 1);
  while (at != text.npos && text[at] == '\\') {
    at = text.find_first_of("\"\\", at + 2);
  }
  return at == text.npos ? at : at + 1;
}

//! Returns the position after the bracket that opens the value of a member;
//! nothing if the value at a position is no array.
[[nodiscard]] std::optional<std::size_t> ArrayAfter(std::string_view text,
                                                    std::size_t after_name) {
  const std::size_t colon = text.find_first_not_of(kSpaces, after_name);
  if (colon == text.npos || text[colon] != ':') {
    return std::nullopt;
  }
  const std::size_t bracket = text.find_first_not_of(kSpaces, colon + 1);
  if (bracket == text.npos || text[bracket] != '[') {
    return std::nullopt;
  }
  return bracket + 1;
}

//! Returns the position after the opening bracket of a member of the outermost
//! object; nothing if there is no such array.
[[nodiscard]] std::optional<std::size_t> FindArray(std::string_view text,
                                                   std::string_view name) {
  const std::string quoted = "\"" + std::string(name) + "\"";
  std::size_t depth = 0;
  std::size_t at = text.find_first_of("\"{}[]");
  while (at != text.npos) {
    std::size_t next = at + 1;
    if (text[at] == '"') {
      next = SkipString(text, at);
      if (next == text.npos) {
        return std::nullopt;
      }
      const auto begin = depth == 1 && text.substr(at, next - at) == quoted
                             ? ArrayAfter(text, next)
                             : std::nullopt;
      if (begin) {
        return begin;
      }
    } else if (text[at] == '{' || text[at] == '[') {
      ++depth;
    } else {
      --depth;
    }
    at = text.find_first_of("\"{}[]", next);
  }
  return std::nullopt;
}

[[nodiscard]] std::optional<ArrayBounds> FindItems(std::string_view text,
                                                   std::string_view name) {
  const auto begin = FindArray(text, name);
  if (!begin) {
    return std::nullopt;
  }
  ArrayBounds bounds;
  bounds.begin = *begin;
  std::size_t depth = 0;
  std::size_t item = *begin;
  std::size_t at = text.find_first_of("\"{}[],", item);
  while (at != text.npos) {
    std::size_t next = at + 1;
    const char c = text[at];
    const bool ends = depth == 0 && c == ']';
    if (c == '"') {
      next = SkipString(text, at);
    } else if (c == '{' || c == '[') {
      ++depth;
    } else if (depth == 0 && (c == ',' || ends)) {
      bounds.items.push_back(text.substr(item, at - item));
      item = next;
    } else if (c != ',') {
      --depth;
    }
    if (ends) {
      bounds.end = at;
      const bool is_empty =
          bounds.items.size() == 1 &&
          bounds.items.front().find_first_not_of(kSpaces) == text.npos;
      if (is_empty) {
        bounds.items.clear();
      }
      return bounds;
    }
    at = text.find_first_of("\"{}[],", next);
  }
  return std::nullopt;
}

}  // namespace

Result<JsonItems> ParseJsonItems(std::string_view text,
                                 std::string_view name,
                                 std::string_view subject) {
  BOOST_LEAF_CHECK(CheckJsonSize(text, subject));
  const auto bounds = FindItems(text, name);
  if (!bounds) {
    return Fail(ErrorCode::kCorrupt, std::string(subject),
                "holds no complete array \"" + std::string(name) + "\"");
  }
  JsonItems parsed;
  BOOST_LEAF_ASSIGN(parsed.envelope,
                    ParseJson(std::string(text.substr(0, bounds->begin)) +
                                  std::string(text.substr(bounds->end)),
                              subject));
  const std::string path = std::string(subject) + "." + std::string(name);
  for (std::size_t i = 0; i < bounds->items.size(); ++i) {
    auto item = Capture([&] {
      return ParseJson(bounds->items[i], path + "[" + std::to_string(i) + "]",
                       JsonNul::kAccept);
    });
    if (auto* error = std::get_if<Error>(&item)) {
      parsed.unreadable.push_back(std::move(*error));
    } else {
      parsed.items.push_back(std::get<0>(std::move(item)));
    }
  }
  return parsed;
}

}  // namespace jacinthdeck
