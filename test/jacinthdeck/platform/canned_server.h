// A server that gives every request the same reply.
#ifndef JACINTHDECK_TEST_JACINTHDECK_PLATFORM_CANNED_SERVER_H_
#define JACINTHDECK_TEST_JACINTHDECK_PLATFORM_CANNED_SERVER_H_

#include <string>
#include <utility>

#include "http/http_server.h"
#include "jacinthdeck/platform/http_client.h"

namespace jacinthdeck {

/*! \brief Replies with one status and body; a status of 0 ends the connection.
 */
class CannedServer {
 public:
  CannedServer(unsigned int status, std::string body)
      : m_server({}, [status, text = std::move(body)](const auto& /*request*/) {
          return standins::HttpReply{status, text, status == 0};
        }) {}

  [[nodiscard]] HttpEndpoint endpoint() const {
    return HttpEndpoint{"127.0.0.1", m_server.port()};
  }

 private:
  standins::HttpServer m_server;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TEST_JACINTHDECK_PLATFORM_CANNED_SERVER_H_
