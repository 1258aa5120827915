// Messages between hosts, decoded.
#ifndef JACINTHDECK_PEER_FEED_MESSAGE_H_
#define JACINTHDECK_PEER_FEED_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/result.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/store_types.h"

namespace jacinthdeck {

/*! \brief A follower presents itself. */
struct FeedHello {
  NodeId host;
  //! Up to which it knows all; revision 0 if it knows nothing.
  StorePosition position;
  //! Its record in the store's format, which the feeder is to keep there; empty
  //! if the feeder is not to.
  std::string record;
  //! It reads packed frames; hosts of an earlier version do not.
  bool reads_packed = true;
};

/*! \brief Changes of the store's content. */
using FeedChanges = ContentUpdate;

/*! \brief A sign of life. */
struct FeedBeat {
  //! Of the sender's content.
  StorePosition position;
  //! Since the store was last heard, by whoever heard it; nothing: never.
  std::optional<Duration> age;
  bool store_away = false;
};

/*! \brief Any message. */
using FeedMessage = std::variant<FeedHello, FeedChanges, FeedBeat>;

/*! \brief Whether the bytes of a frame are compressed. */
enum class FeedPacking { kPlain, kPacked };

/**
 * \brief Encodes a message as one frame, its length first.
 * \param packing Small messages stay plain.
 */
[[nodiscard]] std::string EncodeFeed(const FeedMessage& message,
                                     FeedPacking packing = FeedPacking::kPlain);

/*! \brief Decodes a frame without its length; kCorrupt for what is no message.
 */
[[nodiscard]] Result<FeedMessage> DecodeFeed(std::string_view frame);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_FEED_MESSAGE_H_
