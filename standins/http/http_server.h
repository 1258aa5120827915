// HTTP server of the ulfius library on a loopback port, with one thread per
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

/*! \brief Options of an HttpServer. */
struct HttpServerOptions {
  //! Port on 127.0.0.1; 0 picks a free port.
  std::uint16_t port = 0;
  //! Connections above this limit are ended at once, without a reply.
  std::size_t max_connections = 1000;
  std::size_t max_body_bytes = std::size_t{8} << 20U;
};

/*! \brief Server that answers requests on 127.0.0.1 until it is destroyed. */
class HttpServer {
 public:
  using Handler = std::function<HttpReply(const HttpRequest&)>;

  /**
   * \brief Opens the port and starts to serve.
   * \param options Port and limits.
   * \param handler Answers requests; called from many threads at once.
   * \throw std::runtime_error if the port cannot be opened.
   */
  HttpServer(const HttpServerOptions& options, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /*! \brief Returns the port that the server listens on. */
  [[nodiscard]] std::uint16_t port() const noexcept;

  /*! \brief Returns the table of open connections. */
  [[nodiscard]] ConnectionTable& connections() noexcept;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_HTTP_HTTP_SERVER_H_
