// Forward declarations of the peer module: hosts hand the store's content on to
// each other.
#ifndef JACINTHDECK_PEER_FWD_H_
#define JACINTHDECK_PEER_FWD_H_

namespace jacinthdeck {

class FeedFrameReader;
class FeedLink;
class FeedLinkSink;
class FeedServer;
class FeedSource;
class FeederSelector;
class FollowerObserver;
struct FeedHeartbeat;
struct FeedHello;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_FWD_H_
