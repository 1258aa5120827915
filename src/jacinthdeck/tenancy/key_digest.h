// Digest of a client account's key. Keys themselves are not kept.
#ifndef JACINTHDECK_TENANCY_KEY_DIGEST_H_
#define JACINTHDECK_TENANCY_KEY_DIGEST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace jacinthdeck {

//! Size of a digest in bytes.
inline constexpr std::size_t kKeyDigestSize = 16;

/*! \brief Digest of a key. */
struct KeyDigest {
  std::array<std::uint8_t, kKeyDigestSize> bytes{};

  [[nodiscard]] bool operator==(const KeyDigest&) const = default;
};

/*! \brief Computes the digest of a key by BLAKE2b (libsodium), keyed with
 * random bytes of this process. */
[[nodiscard]] KeyDigest DigestOf(std::string_view key);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_KEY_DIGEST_H_
