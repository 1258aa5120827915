// Joins the parts of messages between rate limiters.
#ifndef JACINTHDECK_PEER_RATE_MESSAGE_ASSEMBLER_H_
#define JACINTHDECK_PEER_RATE_MESSAGE_ASSEMBLER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/peer/rate_message_codec.h"
#include "jacinthdeck/tenancy/rate_message.h"

namespace jacinthdeck {

/**
 * \brief Keeps the parts of messages until all have arrived.
 *
 * A rate limiter counts each number of a message once, so it must not see a
 * part of one. A message that lacks a part is dropped when kMaxMessages later
 * ones have begun; its sender repeats it.
 */
class RateMessageAssembler {
 public:
  //! Maximum number of messages that lack a part. A host sends one message of
  //! several parts at a time to each allocator.
  static constexpr std::size_t kMaxMessages = 64;
  //! Maximum number of parts; bounds the memory of forged messages to 5 MB.
  static constexpr std::size_t kMaxParts = 64;

  /*! \brief Returns the number of messages that lack a part. */
  [[nodiscard]] std::size_t incomplete() const noexcept {
    return m_messages.size();
  }

  /*! \brief Adds a datagram; returns its message if it is complete. */
  [[nodiscard]] std::optional<RateMessage> Add(RateDatagram datagram);

 private:
  //! Equal for the parts of a message, and for those of a repetition.
  struct Key {
    HostId from;
    std::size_t type = 0;
    std::uint64_t number = 0;
    std::uint64_t started_ms = 0;
    std::size_t parts = 0;

    [[nodiscard]] bool operator==(const Key&) const = default;
  };
  struct Incomplete {
    Key key;
    std::vector<std::optional<RateMessage>> parts;
    std::size_t missing = 0;
  };

  [[nodiscard]] static Key KeyOf(const RateDatagram& datagram);

  //! Oldest first.
  std::deque<Incomplete> m_messages;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_RATE_MESSAGE_ASSEMBLER_H_
