// Hash that maps a key to its position in the key space of an index.
#ifndef JACINTHDECK_SCHEMA_KEY_HASH_H_
#define JACINTHDECK_SCHEMA_KEY_HASH_H_

#include <cstdint>
#include <string_view>

namespace jacinthdeck {

/**
 * \brief Hashes a key with XXH32 and seed 0 over its text, as index builders
 * do.
 *
 * \param key Text of the key; integers in decimal.
 * \return Position in [0, 2^32).
 */
[[nodiscard]] std::uint64_t HashKey(std::string_view key) noexcept;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_SCHEMA_KEY_HASH_H_
