// An HTTP server of the ulfius library on a loopback port, one thread a
// connection, so that a handler may block.
#ifndef JACINTHDECK_STANDINS_HTTP_HTTP_SERVER_H_
#define JACINTHDECK_STANDINS_HTTP_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "http/connection_table.h"
#include "http/http_message.h"

namespace jacinthdeck::standins {

/*! \brief How a server is opened. */
struct HttpServerOptions {
  //! 0 lets the kernel pick.
  std::uint16_t port = 0;
  //! Connections above are ended at once, without a reply.
  std::size_t max_connections = 1000;
  std::size_t max_body_bytes = std::size_t{8} << 20U;
};

/*! \brief Serves requests on 127.0.0.1 until it is destroyed. */
class HttpServer {
 public:
  using Handler = std::function<HttpReply(const HttpRequest&)>;

  /**
   * \brief Opens the port and starts to serve.
   * \param options How to open it.
   * \param handler Called from many threads at once.
   * \throw std::runtime_error if the port cannot be opened.
   */
  HttpServer(const HttpServerOptions& options, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /*! \brief The port that is served. */
  [[nodiscard]] std::uint16_t port() const noexcept;

  /*! \brief The open connections. */
  [[nodiscard]] ConnectionTable& connections() noexcept;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_HTTP_HTTP_SERVER_H_
