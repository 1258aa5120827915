// Hash that places a key in the key space of an index.
#ifndef JACINTHDECK_SCHEMA_KEY_HASH_H_
#define JACINTHDECK_SCHEMA_KEY_HASH_H_

#include <cstdint>
#include <string_view>

namespace jacinthdeck {

/**
 * \brief Hashes a key as index builders do: XXH32, seed 0, over the text of the
 * value. \param key Text of the key; integers in decimal. \return Position in
 * [0, 2^32).
 */
[[nodiscard]] std::uint64_t HashKey(std::string_view key) noexcept;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_SCHEMA_KEY_HASH_H_
