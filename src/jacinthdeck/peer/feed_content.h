// Changes of the store's content that are sent to several followers.
#ifndef JACINTHDECK_PEER_FEED_CONTENT_H_
#define JACINTHDECK_PEER_FEED_CONTENT_H_

#include <array>
#include <cstddef>
#include <memory>
#include <string>

#include "jacinthdeck/peer/feed_message.h"

namespace jacinthdeck {

/**
 * \brief Changes that followers share, each of which gets them in parts.
 *
 * A part is encoded when a follower is ready for it, so that a follower holds
 * the bytes of one part only, whatever the size of the content.
 */
class FeedContent {
 public:
  //! Plain size of a part; a single change may exceed it.
  static constexpr std::size_t kMaxPartBytes = std::size_t{1} << 20U;

  using Frame = std::shared_ptr<const std::string>;

  /*! \brief Position within the changes up to which a follower got them. */
  struct Cursor {
    std::size_t next_change = 0;
    //! Whether the last part was taken.
    bool done = false;
  };

  /*! \brief Shares changes.
   * \param since Position after which they are complete; ignored for whole
   * content. */
  FeedContent(FeedChanges changes, const StorePosition& since);

  [[nodiscard]] const FeedChanges& changes() const noexcept {
    return m_changes;
  }
  /*! \brief Approximate size of the plain message. */
  [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }

  /*! \brief Tells whether the changes begin where other ones begin, which were
   * made for a follower that knows all changes up to a position. */
  [[nodiscard]] bool BeginsLike(const FeedChanges& other,
                                const StorePosition& since) const;

  /*! \brief Encodes the next part and advances the cursor. */
  [[nodiscard]] Frame NextPart(Cursor& cursor,
                               FeedCompression compression) const;

  /*! \brief Encodes the changes as one message, once for each compression, for
   * followers that do not read parts. */
  [[nodiscard]] Frame WholeFrame(FeedCompression compression);

  /*! \brief Returns the approximate size of a plain message. */
  [[nodiscard]] static std::size_t SizeOf(const FeedChanges& changes);

 private:
  const FeedChanges m_changes;
  const StorePosition m_since;
  const std::size_t m_bytes;
  std::array<Frame, kFeedCompressions> m_whole_frames;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_FEED_CONTENT_H_
