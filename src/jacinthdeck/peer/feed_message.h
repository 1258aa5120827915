// Messages between a follower and its feeder, and their encoding.
#ifndef JACINTHDECK_PEER_FEED_MESSAGE_H_
#define JACINTHDECK_PEER_FEED_MESSAGE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/result.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/store_types.h"
#include "jacinthdeck/peer/feed_frames.h"

namespace jacinthdeck {

/*! \brief First message of a follower, sent again when its record changes. */
struct FeedHello {
  //! Name of the follower.
  HostId host;
  //! Position up to which the follower knows all changes; revision 0 if it
  //! knows nothing.
  StorePosition position;
  //! The follower's host record in the store's format, which the feeder keeps
  //! in the store; empty if the feeder must not keep one.
  std::string record;
  //! Whether the follower can read compressed messages; hosts of an earlier
  //! version cannot.
  bool reads_packed = true;
  //! Whether the follower can read changes that come in several parts; hosts
  //! of an earlier version cannot.
  bool reads_parts = true;
};

/*! \brief Changes of the store's content, or the whole content. */
using FeedChanges = ContentUpdate;

/*! \brief A part of a FeedChanges that is followed by another one. The last
 * part is sent as a FeedChanges. */
struct FeedPart {
  FeedChanges changes;
};

/*! \brief Periodic message of a feeder that shows that it is alive and how old
 * its content is. */
struct FeedHeartbeat {
  //! Position of the sender's content.
  StorePosition position;
  //! Time since the last successful call to the store, by the sender or the
  //! host that it got its content from; nothing if there was none.
  std::optional<Duration> age;
  //! Whether the sender considers the store unavailable.
  bool store_away = false;
  //! Time for which the store has been available without a break, as far as
  //! the sender knows; nothing if it does not know, or does not say.
  std::optional<Duration> available_for = {};
};

/*! \brief Any message between a follower and its feeder. */
using FeedMessage =
    std::variant<FeedHello, FeedChanges, FeedHeartbeat, FeedPart>;

/*! \brief Compression of a message. */
enum class FeedCompression { kNone, kZstd };

//! Number of values of FeedCompression.
inline constexpr std::size_t kFeedCompressions = 2;

/**
 * \brief Encodes a message as one frame with its length prefix.
 * \param message Message to encode.
 * \param compression Compression to use; small messages are never compressed.
 */
[[nodiscard]] std::string EncodeFeedMessage(
    const FeedMessage& message,
    FeedCompression compression = FeedCompression::kNone);

/*! \brief Decodes a frame without its length prefix; returns kCorrupt if it
 * holds no valid message, or one of more than a number of bytes. */
[[nodiscard]] Result<FeedMessage> DecodeFeedMessage(
    std::string_view frame,
    std::size_t max_bytes = FeedFrameReader::kMaxFrameBytes);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_FEED_MESSAGE_H_
