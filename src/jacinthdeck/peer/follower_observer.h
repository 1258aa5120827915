// Interface that is notified of the hosts that follow this one.
#ifndef JACINTHDECK_PEER_FOLLOWER_OBSERVER_H_
#define JACINTHDECK_PEER_FOLLOWER_OBSERVER_H_

#include "jacinthdeck/peer/feed_message.h"

namespace jacinthdeck {

/*! \brief Receives the hellos of followers and the end of their links. */
class FollowerObserver {
 public:
  virtual ~FollowerObserver() = default;

  /*! \brief Called when a follower sends its first or a further hello. */
  virtual void OnFollowerHello(const FeedHello& hello) = 0;

  /*! \brief Called when the last link of a follower has ended. */
  virtual void OnFollowerLeft(const HostId& host) = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_FOLLOWER_OBSERVER_H_
