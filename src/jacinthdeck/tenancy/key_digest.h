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
//! Longest key of a client account in bytes.
inline constexpr std::size_t kMaxKeyBytes = 256;

/*! \brief Digest of a key. */
struct KeyDigest {
  std::array<std::uint8_t, kKeyDigestSize> bytes{};

  /*! \brief Compares in a time that does not depend on the bytes, so that the
   * time of an answer tells a caller nothing about keys. */
  [[nodiscard]] bool operator==(const KeyDigest& other) const noexcept;

  /*! \brief Returns a part of the digest as a hash; its bits are uniformly
   * distributed. */
  [[nodiscard]] std::uint64_t Hash() const noexcept;
};

/*! \brief Hash of a digest, for unordered containers. */
struct KeyDigestHash {
  [[nodiscard]] std::size_t operator()(const KeyDigest& digest) const noexcept {
    return digest.Hash();
  }
};

/*! \brief Computes the digest of a key by BLAKE2b (libsodium), keyed with
 * random bytes of this process. */
[[nodiscard]] KeyDigest DigestOf(std::string_view key);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_KEY_DIGEST_H_
