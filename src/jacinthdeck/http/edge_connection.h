// One connection of a server, from its first byte to its end.
#ifndef JACINTHDECK_HTTP_EDGE_CONNECTION_H_
#define JACINTHDECK_HTTP_EDGE_CONNECTION_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/http/asio.h"
#include "jacinthdeck/http/edge_message.h"

namespace jacinthdeck {

class EdgeServer;

/**
 * \brief Reads one request at a time and writes its response.
 *
 * A read is outstanding also while a request is being answered, so that a peer
 * that leaves is noticed at once and its work can be cancelled.
 */
class EdgeConnection : public std::enable_shared_from_this<EdgeConnection> {
 public:
  /*! \brief Takes an accepted socket; the server outlives the connection. */
  EdgeConnection(EdgeServer& server, tcp::socket socket, std::uint64_t id);

  [[nodiscard]] std::uint64_t id() const noexcept { return m_id; }

  /*! \brief Begins to read. */
  void Start();

  /*! \brief Answers the request under way; has no effect without one. */
  void Respond(EdgeResponse response);

  /*! \brief Ends the connection at once. */
  void Close();

  /*! \brief Acts on what lasted too long; called now and then. */
  void CheckTime(TimePoint now);

  /*! \brief Ends the connection if no request is under way. */
  void CloseIfIdle();

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  enum class Phase {
    //! Nothing of a request is in.
    kIdle,
    //! Some of a request is in.
    kReading,
    //! A whole request is in and has no response.
    kAwaitingResponse,
    kWriting,
    //! The response is out; what still comes is thrown away until the peer
    //! closes, since closing over unread bytes would reset the response away.
    kLingering,
    kClosed,
  };

  void Read();
  void OnReadable(SystemError error);
  void Parse();
  void BeginRequest();
  [[nodiscard]] bool OnHeaderComplete();
  void OnRequestComplete();
  void Reject(int status);
  void Write(bool close);
  void OnWritten(const SystemError& error);
  void Linger();

  EdgeServer& m_server;
  tcp::socket m_socket;
  const std::uint64_t m_id;
  boost::beast::flat_buffer m_read_buffer;
  std::optional<Parser> m_parser;
  Phase m_phase = Phase::kIdle;
  //! When the phase began, for its time limit.
  TimePoint m_phase_started_at;
  bool m_header_complete = false;
  bool m_read_pending = false;
  //! The request under way allows another one after it.
  bool m_keep_alive = false;
  //! The response must have no body.
  bool m_is_head_request = false;
  bool m_close_after_write = false;
  std::string m_write_buffer;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_EDGE_CONNECTION_H_
