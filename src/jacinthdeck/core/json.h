// Parsing and serialization of JSON values of the jansson library.
#ifndef JACINTHDECK_CORE_JSON_H_
#define JACINTHDECK_CORE_JSON_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "jacinthdeck/core/json_ptr.h"
#include "jacinthdeck/core/result.h"

namespace jacinthdeck {

//! Largest JSON text, in bytes, that is accepted from another system; it has
//! room for a store value of 1 MiB after escaping, with its envelope.
inline constexpr std::size_t kMaxJsonBytes = std::size_t{4} << 20U;

/*! \brief Whether strings in a JSON text may hold NUL. */
enum class JsonNul { kReject, kAccept };

/*! \brief Fails with kTooLarge for a JSON text above kMaxJsonBytes. */
[[nodiscard]] Result<void> CheckJsonSize(std::string_view text,
                                         std::string_view subject);

/**
 * \brief Parses a JSON text and rejects objects with duplicate members.
 * \param text JSON text.
 * \param subject Origin of the text, used as the subject of an error.
 * \param nul Whether strings may hold NUL; names of members never may.
 * \return The value; fails with kTooLarge above kMaxJsonBytes, and with
 * kCorrupt and the line number for invalid JSON.
 */
[[nodiscard]] Result<JsonPtr> ParseJson(std::string_view text,
                                        std::string_view subject,
                                        JsonNul nul = JsonNul::kReject);

/**
 * \brief Serializes a value on one line.
 * \param value Any JSON value.
 * \return Compact JSON text with members sorted by name.
 */
[[nodiscard]] std::string DumpJson(const json_t& value);

/**
 * \brief Serializes a value on several lines for human readers.
 * \param value Any JSON value.
 * \return JSON text indented by two spaces, members sorted by name.
 */
[[nodiscard]] std::string DumpJsonIndented(const json_t& value);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_JSON_H_
