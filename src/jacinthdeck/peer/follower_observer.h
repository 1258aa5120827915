// Told of the hosts that learn from this one.
#ifndef JACINTHDECK_PEER_FOLLOWER_OBSERVER_H_
#define JACINTHDECK_PEER_FOLLOWER_OBSERVER_H_

#include "jacinthdeck/peer/feed_message.h"

namespace jacinthdeck {

/*! \brief Receives what followers say of themselves. */
class FollowerObserver {
 public:
  virtual ~FollowerObserver() = default;

  /*! \brief A follower came, or says something else of itself. */
  virtual void OnFollower(const FeedHello& hello) = 0;

  /*! \brief The last link of a follower ended. */
  virtual void OnFollowerLeft(const HostId& host) = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_FOLLOWER_OBSERVER_H_
