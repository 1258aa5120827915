// What a host hands on: the store's content as it knows it.
#ifndef JACINTHDECK_PEER_FEED_SOURCE_H_
#define JACINTHDECK_PEER_FEED_SOURCE_H_

#include "jacinthdeck/peer/feed_message.h"

namespace jacinthdeck {

/*! \brief Gives the content and its age. */
class FeedSource {
 public:
  virtual ~FeedSource() = default;

  /*! \brief The whole content; revision 0 if nothing is known yet. */
  [[nodiscard]] virtual FeedChanges Content() const = 0;

  /*! \brief Revision and age of the content. */
  [[nodiscard]] virtual FeedBeat Beat() const = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_FEED_SOURCE_H_
