// Persistent HTTP connection to a server of the platform; one call at a time.
#ifndef JACINTHDECK_HTTP_CLIENT_SESSION_H_
#define JACINTHDECK_HTTP_CLIENT_SESSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthdeck/core/error.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/opaque_request.h"
#include "jacinthdeck/http/asio.h"
#include "jacinthdeck/http/loop_timer.h"

namespace jacinthdeck {

/*! \brief Request of one call. */
struct ClientRequest {
  std::string method;
  //! Path and query.
  std::string target;
  //! JSON, or empty if the request has no body.
  std::string body;
  //! Headers beyond Host, Content-Type and Content-Length, which the session
  //! writes.
  std::vector<Header> headers = {};
};

/*! \brief Response of a call, or the reason why there is none. */
struct ClientReply {
  //! HTTP status code; 0 if there is no response, then `error` says why.
  int status = 0;
  std::string body;
  std::string error;
  //! True if no byte of the request was sent.
  bool not_sent = false;
  std::vector<Header> headers = {};
  //! True if no response to a sent request began within the timeout.
  bool response_timed_out = false;
  //! True if a response arrived whose body exceeds the limit or did not arrive
  //! as a whole; `status` is 0.
  bool body_incomplete = false;

  [[nodiscard]] bool answered() const noexcept { return status != 0; }

  /*! \brief Returns the first value of a header, whose name is compared without
   * case; null if the header is absent. */
  [[nodiscard]] const std::string* FindHeader(std::string_view name) const;
};

/**
 * \brief Makes calls one after the other, each with its own timeout.
 *
 * After a call without a response the connection is closed: bytes that still
 * arrive on it could not be told apart from the response to a later call. The
 * session must not be destroyed within a callback.
 */
class ClientSession {
 public:
  using Callback = std::function<void(const ClientReply&)>;

  ClientSession(asio::io_context& loop,
                const std::string& address,
                std::uint16_t port);
  ~ClientSession();
  ClientSession(const ClientSession&) = delete;
  ClientSession& operator=(const ClientSession&) = delete;

  [[nodiscard]] bool busy() const noexcept { return m_callback != nullptr; }

  /*! \brief Starts a call; one that is in progress is aborted. The callback is
   * invoked later, never from within Call(), and exactly once unless the call
   * is aborted or the session is destroyed. */
  void Call(const ClientRequest& request, Duration timeout, Callback callback);

  /*! \brief Aborts the current call without invoking its callback and closes
   * the connection. */
  void Abort();

 private:
  struct Connection;

  void Open();
  void Write();
  void Read();
  void OnRead(const SystemError& ended);
  void Finish(const ClientReply& reply);
  //! Tells whether a response has begun whose body was not read as a whole.
  [[nodiscard]] bool IsBodyIncomplete(const SystemError& ended) const;
  void FailCall(const std::string& error,
                bool not_sent,
                bool body_incomplete = false);
  void OnTimeout();
  //! Closes the connection and finishes the call.
  void FinishFailed(const ClientReply& reply);
  void CloseConnection();

  asio::io_context& m_loop;
  const std::string m_address;
  const std::uint16_t m_port;
  LoopTimer m_timer;
  //! Null while there is no connection. The operations of a connection share
  //! it, and their handlers do nothing once it is another one or closed.
  std::shared_ptr<Connection> m_connection;
  Callback m_callback;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_CLIENT_SESSION_H_
