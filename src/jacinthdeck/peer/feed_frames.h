// Framing of the byte stream between hosts: a length prefix before each frame.
#ifndef JACINTHDECK_PEER_FEED_FRAMES_H_
#define JACINTHDECK_PEER_FEED_FRAMES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jacinthdeck {

/*! \brief Encodes the length prefix of a frame of the given size. */
[[nodiscard]] std::string EncodeFrameLength(std::size_t bytes);

/*! \brief Splits a byte stream into frames and strips their length prefix. */
class FeedFrameReader {
 public:
  //! Largest frame that is accepted. The largest message holds one item, which
  //! the store sends in a reply of at most 16 MiB; more items are sent in
  //! parts.
  static constexpr std::size_t kMaxFrameBytes = std::size_t{20} << 20U;

  /*! \brief Creates a reader of an empty stream.
   * \param max_bytes Largest frame that is accepted. */
  explicit FeedFrameReader(std::size_t max_bytes = kMaxFrameBytes) noexcept
      : m_max_bytes(max_bytes) {}

  /*! \brief Tells whether a length prefix exceeded the largest frame; no
   * further frame can be read then. */
  [[nodiscard]] bool broken() const noexcept { return m_is_broken; }

  /*! \brief Appends received bytes. */
  void Add(std::string_view bytes) { m_buffer += bytes; }

  /*! \brief Removes and returns the next complete frame; nothing if there is
   * none yet, or the stream is broken. */
  [[nodiscard]] std::optional<std::string> Next();

 private:
  std::size_t m_max_bytes;
  std::string m_buffer;
  bool m_is_broken = false;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_FEED_FRAMES_H_
