// HTTP server over ulfius with the bounds that callers meet.
#ifndef JACINTHDECK_RUNTIME_HTTP_SERVER_H_
#define JACINTHDECK_RUNTIME_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include "jacinthdeck/core/result.h"
#include "jacinthdeck/runtime/endpoint.h"
#include "jacinthdeck/runtime/http_types.h"

namespace jacinthdeck {

/*! \brief Bounds of a server; what goes beyond them never reaches the handler.
 */
struct HttpServerOptions {
  //! A longer body is answered with 413.
  std::size_t body_bytes = std::size_t{64} * 1024;
  //! Request line and headers together; longer ones are answered with 431.
  std::size_t header_bytes = std::size_t{16} * 1024;
  //! Connections at once; further ones are closed.
  unsigned connections = 512;
  //! Idle connections are closed after this many seconds.
  unsigned idle_seconds = 60;
};

/*! \brief A listening server; stops when destroyed. */
class HttpServer {
 public:
  //! Opaque; known to the source file alone.
  struct State;

  HttpServer(HttpServer&&) noexcept;
  HttpServer& operator=(HttpServer&&) noexcept;
  ~HttpServer();

  /**
   * \brief Starts to listen.
   * \param endpoint Where; port 0 lets the kernel pick.
   * \param options Bounds.
   * \param handler Called for every request, on several threads at once.
   * \return The server, or kUnavailable if the port is taken.
   */
  [[nodiscard]] static Result<HttpServer> Start(
      const Endpoint& endpoint,
      const HttpServerOptions& options,
      HttpHandler handler);

  /*! \brief Port that is listened on. */
  [[nodiscard]] std::uint16_t port() const noexcept;

  /*! \brief Takes no new connection; requests in flight go on. */
  void StopListening() noexcept;

 private:
  explicit HttpServer(std::unique_ptr<State> state) noexcept;

  std::unique_ptr<State> m_state;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_HTTP_SERVER_H_
