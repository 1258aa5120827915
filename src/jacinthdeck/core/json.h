// Parsing and rendering of JSON values of the jansson library.
#ifndef JACINTHDECK_CORE_JSON_H_
#define JACINTHDECK_CORE_JSON_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "jacinthdeck/core/json_ptr.h"
#include "jacinthdeck/core/result.h"

namespace jacinthdeck {

//! Most bytes of a JSON text that an outside system may send: a store value of
//! 1 MiB, escaped, and its envelope.
inline constexpr std::size_t kMaxJsonBytes = std::size_t{4} << 20U;

/**
 * \brief Parses a JSON text; a member that stands twice is refused.
 * \param text The text.
 * \param subject Where the text came from, for errors.
 * \return The value; kTooLarge above kMaxJsonBytes, kCorrupt with the line for
 * what is no JSON.
 */
[[nodiscard]] Result<JsonPtr> ParseJson(std::string_view text,
                                        std::string_view subject);

/**
 * \brief Renders a value on one line.
 * \param value Any JSON value.
 * \return Its text, members in the order of their names.
 */
[[nodiscard]] std::string DumpJson(const json_t& value);

/**
 * \brief Renders a value over several lines, for people.
 * \param value Any JSON value.
 * \return Its text, indented by two spaces.
 */
[[nodiscard]] std::string DumpJsonIndented(const json_t& value);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_JSON_H_
