// Receiver of the requests of a server.
#ifndef JACINTHDECK_HTTP_EDGE_HANDLER_H_
#define JACINTHDECK_HTTP_EDGE_HANDLER_H_

#include <cstdint>
#include <memory>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/http/edge_message.h"

namespace jacinthdeck {

class EdgeConnection;

/*! \brief Takes requests and answers each of them once on its connection. */
class EdgeHandler {
 public:
  virtual ~EdgeHandler() = default;

  /**
   * \brief Takes a whole request.
   *
   * The connection takes no other request before EdgeConnection::Respond(),
   * which may be called at once or later.
   * \param request Request.
   * \param arrived When its last byte was read.
   */
  virtual void OnRequest(const std::shared_ptr<EdgeConnection>& connection,
                         EdgeRequest request,
                         TimePoint arrived) = 0;

  /*! \brief The peer left before its request was answered; Respond() has no
   * effect any more. */
  virtual void OnDisconnect(EdgeConnection& connection) = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_EDGE_HANDLER_H_
