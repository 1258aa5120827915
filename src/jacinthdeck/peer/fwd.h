// Forward declarations of the peer module: hosts pass the store's content on to
// one another, so that only a few of them have to watch the store.
#ifndef JACINTHDECK_PEER_FWD_H_
#define JACINTHDECK_PEER_FWD_H_

namespace jacinthdeck {

class FeedContent;
class FeedFrameReader;
class FeedLink;
class FeedLinkSink;
class FeedServer;
class FeedSource;
class FeederSelector;
class FollowerObserver;
class RateLimitSocket;
class RateLimitSocketSink;
class RateMessageAssembler;
struct FeedHeartbeat;
struct FeedHello;
struct FeedPart;
struct RateDatagram;
struct RateLimitSocketCounters;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_FWD_H_
