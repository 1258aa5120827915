// UDP socket of the messages between rate limiters.
#ifndef JACINTHDECK_PEER_RATE_LIMIT_SOCKET_H_
#define JACINTHDECK_PEER_RATE_LIMIT_SOCKET_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "jacinthdeck/core/endpoint.h"
#include "jacinthdeck/core/result.h"
#include "jacinthdeck/http/asio.h"
#include "jacinthdeck/peer/rate_message_codec.h"

namespace jacinthdeck {

using asio::ip::udp;

/*! \brief Receives datagrams. */
class RateLimitSocketSink {
 public:
  virtual ~RateLimitSocketSink() = default;

  /*! \brief Called for each datagram of at most kMaxRateDatagramBytes. */
  virtual void OnDatagram(std::string_view bytes,
                          const udp::endpoint& from) = 0;
};

/*! \brief Counts of a socket since it was created. */
struct RateLimitSocketCounters {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received = 0;
  std::uint64_t received_bytes = 0;
  //! Datagrams that were not sent, as they were too large or the system had no
  //! room for them.
  std::uint64_t send_drops = 0;
  //! Datagrams that were too large to be valid.
  std::uint64_t oversized = 0;
};

/*! \brief Sends and receives datagrams without blocking. Messages repeat and
 * expire by themselves, so what cannot be sent at once is dropped. */
class RateLimitSocket {
 public:
  RateLimitSocket(asio::io_context& loop, RateLimitSocketSink& sink);
  RateLimitSocket(const RateLimitSocket&) = delete;
  RateLimitSocket& operator=(const RateLimitSocket&) = delete;

  [[nodiscard]] bool is_open() const { return m_socket.is_open(); }
  /*! \brief Returns the port; 0 if the socket is closed. */
  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] const RateLimitSocketCounters& counters() const noexcept {
    return m_counters;
  }

  /*! \brief Opens the socket; fails with kUnavailable. */
  [[nodiscard]] Result<void> Listen(const Endpoint& endpoint);

  /*! \brief Sends a datagram; drops and counts it if that is not possible. */
  void Send(const udp::endpoint& to, std::string_view bytes);

  /*! \brief Stops receiving and sending. */
  void Close();

 private:
  void Receive();
  void OnReadable();

  RateLimitSocketSink& m_sink;
  udp::socket m_socket;
  RateLimitSocketCounters m_counters;
  //! One byte more than a datagram may have shows that one is too large.
  //! Aligned, since messages are read in place.
  alignas(8) std::array<char, kMaxRateDatagramBytes + 1> m_buffer{};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_RATE_LIMIT_SOCKET_H_
