// Cuts a stream into frames.
#ifndef JACINTHDECK_PEER_FEED_FRAMES_H_
#define JACINTHDECK_PEER_FEED_FRAMES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jacinthdeck {

/*! \brief Gives the prefix of a frame of so many bytes. */
[[nodiscard]] std::string EncodeFrameLength(std::size_t bytes);

/*! \brief Collects bytes and gives whole frames, without their length. */
class FeedFrameReader {
 public:
  //! A frame holds the store's content at most, whose parts are bounded.
  static constexpr std::size_t kMaxFrameBytes = std::size_t{64} << 20U;

  /*! \brief Tells whether the stream is none of frames; it cannot go on. */
  [[nodiscard]] bool broken() const noexcept { return m_is_broken; }

  /*! \brief Takes bytes of the stream. */
  void Add(std::string_view bytes) { m_buffer += bytes; }

  /*! \brief Takes the next whole frame, or nothing until more bytes are in. */
  [[nodiscard]] std::optional<std::string> Next();

 private:
  std::string m_buffer;
  bool m_is_broken = false;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_FEED_FRAMES_H_
