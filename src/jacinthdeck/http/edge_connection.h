// Server side of one HTTP connection.
#ifndef JACINTHDECK_HTTP_EDGE_CONNECTION_H_
#define JACINTHDECK_HTTP_EDGE_CONNECTION_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "jacinthdeck/core/byte_budget.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/http/asio.h"
#include "jacinthdeck/http/edge_message.h"
#include "jacinthdeck/http/request_body.h"

namespace jacinthdeck {

class EdgeServer;

/**
 * \brief Reads one request at a time, hands it to the server's handler and
 * writes its response.
 *
 * A read stays outstanding while a request awaits its response, so that a peer
 * that disconnects is noticed at once and its work can be cancelled.
 */
class EdgeConnection : public std::enable_shared_from_this<EdgeConnection> {
 public:
  //! Time within which the peer must accept a whole response. The kernel keeps
  //! the rest of a response for as long if the peer stops reading.
  static constexpr Duration kWriteTimeout = std::chrono::seconds(10);
  //! Bytes that each connection may hold of its requests, and of a response,
  //! without a part of the memory for them. The number of connections bounds
  //! their sum.
  static constexpr std::size_t kFreeBytes = 8192;

  //! Place of a connection in the list of its server.
  using Position = std::list<std::shared_ptr<EdgeConnection>>::iterator;

  /*! \brief Wraps an accepted socket; the server must outlive the connection.
   */
  EdgeConnection(EdgeServer& server, tcp::socket socket);

  [[nodiscard]] Position position() const noexcept { return m_position; }
  /*! \brief Whether a request has arrived in part. */
  [[nodiscard]] bool is_reading() const { return m_phase == Phase::kReading; }
  /*! \brief Whether no byte of a request has been read, and none awaits its
   * response. */
  [[nodiscard]] bool is_idle() const {
    return m_phase == Phase::kIdle || m_phase == Phase::kLingering;
  }
  /*! \brief Whether bytes have arrived that are not parsed. Those in the kernel
   * count: closing the socket would answer them with a reset. */
  [[nodiscard]] bool HasInput() const;
  /*! \brief Whether the caller has sent so far ahead of its response that the
   * connection no longer reads. */
  [[nodiscard]] bool is_sent_ahead() const {
    return m_phase == Phase::kAwaitingResponse && !m_read_pending;
  }
  /*! \brief Part of the memory for requests that a request which is arriving
   * holds. */
  [[nodiscard]] std::uint64_t held_bytes() const noexcept {
    return m_held.size();
  }
  /*! \brief Part of the memory for responses that one which is being written
   * holds. */
  [[nodiscard]] std::uint64_t held_response_bytes() const noexcept {
    return m_held_response.size();
  }

  /*! \brief Returns the IP address of the peer; empty if the peer had left
   * before it was first read. */
  [[nodiscard]] const std::string& peer_address();

  /*! \brief Starts reading requests. */
  void Start(Position position);

  /*! \brief Closes the connection, and notifies the handler of a request that
   * awaits its response. */
  void Abandon();

  /*! \brief Writes the response to the current request; has no effect if no
   * request awaits a response. */
  void Respond(EdgeResponse response);

  /*! \brief Closes the connection at once and removes it from the server. */
  void Close();

  /*! \brief Answers 408 to a request that arrives too slowly, and closes a
   * connection whose peer has left, or that stays idle, writes or lingers
   * beyond its timeout. Called periodically. */
  void ApplyTimeout(TimePoint now);

  /*! \brief Answers 503 to a request that has not arrived as a whole. */
  void RejectIncomplete();

  /*! \brief Does the same to one for which there is no memory, with a time
   * after which its caller may return. */
  void RejectForMemory();

  /*! \brief Closes the connection if no byte of a request has arrived, read or
   * not, and none awaits its response. */
  void CloseIfIdle();

 private:
  using Parser = boost::beast::http::request_parser<internal::RequestBody>;

  enum class Phase {
    //! No byte of the next request has been parsed.
    kIdle,
    //! A request has arrived in part.
    kReading,
    //! A complete request has arrived and has no response yet.
    kAwaitingResponse,
    kWriting,
    //! The last response is written; bytes that still arrive are discarded
    //! until the peer closes. Closing a socket with unread bytes would send a
    //! reset, and the peer could lose the response.
    kLingering,
    kClosed,
  };

  void StartPhase(Phase phase);
  void Read();
  void OnReadable(SystemError error);
  void Parse();
  void BeginRequest();
  //! Reads the header into m_request; returns false if it is rejected.
  [[nodiscard]] bool OnHeaderComplete();
  //! Takes memory for what may be read next; returns false if there is none.
  [[nodiscard]] bool HoldInput();
  //! Drops the bytes of a request that is not handed out.
  void DropInput();
  //! Adds the headers that are passed on to m_request.
  void CopyHeaders();
  void OnRequestComplete();
  //! \param retry_after Value of the Retry-After header; empty for none.
  void Reject(int status, std::string_view retry_after = {});
  void Write(bool close);
  void OnWritten(const SystemError& error);
  //! Drops the response and its memory.
  void DropResponse();
  void Linger();
  //! Returns whether the peer has closed the connection, also if bytes that it
  //! sent before are unread.
  [[nodiscard]] bool HasPeerClosed();

  EdgeServer& m_server;
  tcp::socket m_socket;
  //! Valid after Start().
  Position m_position;
  boost::beast::flat_buffer m_read_buffer;
  std::optional<Parser> m_parser;
  //! The request that is being read; its body is in the parser until the end.
  EdgeRequest m_request;
  //! Bytes received since the request began.
  std::uint64_t m_received_bytes = 0;
  //! Memory of m_request without its body.
  std::size_t m_header_bytes = 0;
  //! Empty while the connection holds at most kFreeBytes of its request.
  HeldBytes m_held;
  Phase m_phase = Phase::kIdle;
  //! Start of the current phase, to which its timeout applies.
  TimePoint m_phase_started_at;
  //! While kLingering: when bytes were last discarded, or the start of the
  //! phase.
  TimePoint m_last_discarded_at;
  bool m_header_complete = false;
  bool m_read_pending = false;
  //! The connection may be kept open after the current request.
  bool m_keep_alive = false;
  //! The current request is a HEAD request: its response has no body.
  bool m_is_head_request = false;
  bool m_close_after_write = false;
  // Response that is being written.
  std::string m_response_head;
  std::string m_response_body;
  //! Empty unless the response is larger than kFreeBytes and its caller has not
  //! taken it at once.
  HeldBytes m_held_response;
  //! Read at the first request, since it costs a system call; empty before.
  std::string m_peer_address;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_EDGE_CONNECTION_H_
