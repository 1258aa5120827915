// Interface through which a FeedServer reads this host's copy of the store's
// content.
#ifndef JACINTHDECK_PEER_FEED_SOURCE_H_
#define JACINTHDECK_PEER_FEED_SOURCE_H_

#include "jacinthdeck/peer/feed_message.h"

namespace jacinthdeck {

/*! \brief Provides the store's content as this host knows it, and its age. */
class FeedSource {
 public:
  virtual ~FeedSource() = default;

  /**
   * \brief Returns the content that a follower lacks.
   * \param position Position up to which the follower knows all changes;
   * revision 0 if it knows nothing.
   * \return The changes since that position, or the whole content if those
   * changes are not known. Its position has revision 0 if this host knows no
   * content yet.
   */
  [[nodiscard]] virtual FeedChanges ContentSince(
      const StorePosition& position) const = 0;

  /*! \brief Returns the position and age of the content. */
  [[nodiscard]] virtual FeedHeartbeat Heartbeat() const = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_FEED_SOURCE_H_
