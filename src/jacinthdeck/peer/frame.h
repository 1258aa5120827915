// Frames on a peer connection: four bytes of length, big-endian, then the
// envelope.
#ifndef JACINTHDECK_PEER_FRAME_H_
#define JACINTHDECK_PEER_FRAME_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jacinthdeck {

//! Bytes of the length in front of each envelope.
inline constexpr std::size_t kFrameHeaderBytes = 4;
//! Largest envelope; a configuration of 1 MiB and its surroundings fit.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{2} << 20U;

/*! \brief Puts the length in front of an encoded envelope. */
[[nodiscard]] inline std::string MakeFrame(std::string_view payload) {
  const auto size = static_cast<std::uint32_t>(payload.size());
  std::string frame;
  frame.reserve(kFrameHeaderBytes + payload.size());
  for (const unsigned shift : {24U, 16U, 8U, 0U}) {
    frame.push_back(static_cast<char>((size >> shift) & 0xFFU));
  }
  frame.append(payload);
  return frame;
}

/**
 * \brief Reads the length in front of an envelope.
 * \param header The four bytes.
 * \return The length, or nothing if it is zero or above kMaxFrameBytes: the
 * connection is not a peer's, or lost its place, and can only be closed.
 */
[[nodiscard]] inline std::optional<std::size_t> ReadFrameHeader(
    const std::array<unsigned char, kFrameHeaderBytes>& header) noexcept {
  std::size_t size = 0;
  for (const unsigned char byte : header) {
    size = (size << 8U) | byte;
  }
  if (size == 0 || size > kMaxFrameBytes) {
    return std::nullopt;
  }
  return size;
}

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_FRAME_H_
