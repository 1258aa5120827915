// Encoding of the messages between rate limiters as datagrams.
#ifndef JACINTHDECK_PEER_RATE_MESSAGE_CODEC_H_
#define JACINTHDECK_PEER_RATE_MESSAGE_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/result.h"
#include "jacinthdeck/tenancy/rate_message.h"

namespace jacinthdeck {

//! Maximum size of a datagram. One that is fragmented by the network is lost
//! with any of its fragments; 1,200 bytes fit the links in use with room for
//! tunnels.
inline constexpr std::size_t kMaxRateDatagramBytes = 1200;

/*! \brief A message, or a part of one that is too large for a datagram. */
struct RateDatagram {
  //! Host that sent it.
  HostId from;
  //! Position of the part; below `parts`.
  std::uint16_t part = 0;
  //! Number of parts of the message; at least 1.
  std::uint16_t parts = 1;
  //! The accounts of this part. An account with many requests may stand in
  //! consecutive parts, which add up.
  RateMessage message;
};

/**
 * \brief Encodes a message as one or more datagrams.
 *
 * Each has at most kMaxRateDatagramBytes, unless a name alone exceeds that.
 */
[[nodiscard]] std::vector<std::string> EncodeRateMessage(
    const HostId& from,
    const RateMessage& message);

/*! \brief Decodes a datagram; returns kCorrupt if it holds no valid message. */
[[nodiscard]] Result<RateDatagram> DecodeRateDatagram(std::string_view bytes);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_RATE_MESSAGE_CODEC_H_
