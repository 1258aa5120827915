// Parses and serializes JSON with the jansson library.
#include "jacinthdeck/core/json.h"

#include <jansson.h>

#include <cstdlib>
#include <memory>

namespace jacinthdeck {

namespace {

[[nodiscard]] std::string Dump(const json_t& value, std::size_t flags) {
  const std::unique_ptr<char, decltype(&std::free)> text(
      json_dumps(&value, flags | JSON_ENCODE_ANY | JSON_SORT_KEYS), &std::free);
  return text == nullptr ? std::string() : std::string(text.get());
}

}  // namespace

Result<void> CheckJsonSize(std::string_view text, std::string_view subject) {
  if (text.size() > kMaxJsonBytes) {
    return Fail(ErrorCode::kTooLarge, std::string(subject),
                std::to_string(text.size()) + " bytes of JSON, at most " +
                    std::to_string(kMaxJsonBytes) + " are read");
  }
  return {};
}

Result<JsonPtr> ParseJson(std::string_view text,
                          std::string_view subject,
                          JsonNul nul) {
  BOOST_LEAF_CHECK(CheckJsonSize(text, subject));
  const std::size_t flags = JSON_REJECT_DUPLICATES | JSON_DECODE_ANY |
                            (nul == JsonNul::kAccept ? JSON_ALLOW_NUL : 0);
  json_error_t error;
  JsonPtr value(json_loadb(text.data(), text.size(), flags, &error));
  if (value == nullptr) {
    return Fail(
        ErrorCode::kCorrupt, std::string(subject),
        "no JSON, line " + std::to_string(error.line) + ": " + error.text);
  }
  return value;
}

std::string DumpJson(const json_t& value) {
  return Dump(value, JSON_COMPACT);
}

std::string DumpJsonIndented(const json_t& value) {
  constexpr std::size_t kIndent = 2;
  return Dump(value, JSON_INDENT(kIndent));
}

}  // namespace jacinthdeck
