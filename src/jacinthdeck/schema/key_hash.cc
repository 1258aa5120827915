// Hashes keys with xxHash.
#include "jacinthdeck/schema/key_hash.h"

#include <xxhash.h>

namespace jacinthdeck {

std::uint64_t HashKey(std::string_view key) noexcept {
  return XXH32(key.data(), key.size(), 0);
}

}  // namespace jacinthdeck
