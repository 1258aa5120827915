// What a host hands on: the store's content as it knows it.
#ifndef JACINTHDECK_PEER_FEED_SOURCE_H_
#define JACINTHDECK_PEER_FEED_SOURCE_H_

#include "jacinthdeck/peer/feed_message.h"

namespace jacinthdeck {

/*! \brief Gives the content and its age. */
class FeedSource {
 public:
  virtual ~FeedSource() = default;

  /**
   * \brief What a follower lacks; its position has revision 0 if nothing is
   * known yet.
   * \param position Up to which it knows all; revision 0 if it knows nothing.
   * \return The changes since then, or the whole content where they are not
   * known.
   */
  [[nodiscard]] virtual FeedChanges ContentSince(
      const StorePosition& position) const = 0;

  /*! \brief Position and age of the content. */
  [[nodiscard]] virtual FeedHeartbeat Heartbeat() const = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_FEED_SOURCE_H_
