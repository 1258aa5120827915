// A length of four bytes, lowest first, stands before each frame.
#include "jacinthdeck/peer/feed_frames.h"

namespace jacinthdeck {

namespace {

constexpr std::size_t kPrefixBytes = 4;
constexpr unsigned kBitsOfByte = 8;
constexpr unsigned kLowByte = 0xff;

[[nodiscard]] std::size_t ReadPrefix(std::string_view bytes) {
  std::size_t length = 0;
  for (std::size_t i = kPrefixBytes; i > 0; --i) {
    length = (length << kBitsOfByte) | static_cast<unsigned char>(bytes[i - 1]);
  }
  return length;
}

}  // namespace

std::string FrameLength(std::size_t bytes) {
  std::string prefix;
  for (std::size_t i = 0; i < kPrefixBytes; ++i) {
    prefix += static_cast<char>(bytes & kLowByte);
    bytes >>= kBitsOfByte;
  }
  return prefix;
}

std::optional<std::string> FeedFrames::Next() {
  if (m_broken || m_bytes.size() < kPrefixBytes) {
    return std::nullopt;
  }
  const std::size_t length = ReadPrefix(m_bytes);
  if (length > kMostBytes) {
    m_broken = true;
    return std::nullopt;
  }
  if (m_bytes.size() < kPrefixBytes + length) {
    return std::nullopt;
  }
  std::string frame = m_bytes.substr(kPrefixBytes, length);
  m_bytes.erase(0, kPrefixBytes + length);
  return frame;
}

}  // namespace jacinthdeck
