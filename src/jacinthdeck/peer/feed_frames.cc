// The length prefix is a four-byte unsigned integer in little-endian order.
#include "jacinthdeck/peer/feed_frames.h"

namespace jacinthdeck {

namespace {

constexpr std::size_t kPrefixBytes = 4;
constexpr unsigned kBitsPerByte = 8;
constexpr unsigned kLowByteMask = 0xff;

[[nodiscard]] std::size_t DecodeFrameLength(std::string_view bytes) {
  std::size_t length = 0;
  for (std::size_t i = kPrefixBytes; i > 0; --i) {
    length =
        (length << kBitsPerByte) | static_cast<unsigned char>(bytes[i - 1]);
  }
  return length;
}

}  // namespace

std::string EncodeFrameLength(std::size_t bytes) {
  std::string prefix;
  for (std::size_t i = 0; i < kPrefixBytes; ++i) {
    prefix += static_cast<char>(bytes & kLowByteMask);
    bytes >>= kBitsPerByte;
  }
  return prefix;
}

std::optional<std::string> FeedFrameReader::Next() {
  if (m_is_broken || m_buffer.size() < kPrefixBytes) {
    return std::nullopt;
  }
  const std::size_t length = DecodeFrameLength(m_buffer);
  if (length > m_max_bytes) {
    m_is_broken = true;
    return std::nullopt;
  }
  if (m_buffer.size() < kPrefixBytes + length) {
    return std::nullopt;
  }
  std::string frame = m_buffer.substr(kPrefixBytes, length);
  m_buffer.erase(0, kPrefixBytes + length);
  return frame;
}

}  // namespace jacinthdeck
