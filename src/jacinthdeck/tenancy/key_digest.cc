// Computes and compares digests with libsodium.
#include "jacinthdeck/tenancy/key_digest.h"

#include <sodium.h>

#include <cstdlib>
#include <cstring>

namespace jacinthdeck {

namespace {

static_assert(kKeyDigestSize >= crypto_generichash_BYTES_MIN);

/*! \brief Random bytes of this process. Without them, whoever reads digests in
 * a memory image could compare them with those of guessed keys, and a caller
 * could choose keys whose digests collide in a hash table. */
struct ProcessSecret {
  std::array<unsigned char, crypto_generichash_KEYBYTES> bytes{};

  ProcessSecret() noexcept {
    // Fails only without a source of random bytes, and then no key can be
    // digested safely.
    if (sodium_init() < 0) {
      std::abort();
    }
    randombytes_buf(bytes.data(), bytes.size());
  }
};

}  // namespace

bool KeyDigest::operator==(const KeyDigest& other) const noexcept {
  return sodium_memcmp(bytes.data(), other.bytes.data(), bytes.size()) == 0;
}

std::uint64_t KeyDigest::Hash() const noexcept {
  std::uint64_t hash = 0;
  std::memcpy(&hash, bytes.data(), sizeof(hash));
  return hash;
}

KeyDigest DigestOf(std::string_view key) {
  static const ProcessSecret secret;
  KeyDigest digest;
  // The call fails only for sizes out of range, which are constants here.
  (void)crypto_generichash(digest.bytes.data(), digest.bytes.size(),
                           reinterpret_cast<const unsigned char*>(key.data()),
                           key.size(), secret.bytes.data(),
                           secret.bytes.size());
  return digest;
}

}  // namespace jacinthdeck
