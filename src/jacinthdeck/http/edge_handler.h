// Interface through which an HTTP server hands out its requests.
#ifndef JACINTHDECK_HTTP_EDGE_HANDLER_H_
#define JACINTHDECK_HTTP_EDGE_HANDLER_H_

#include <cstdint>
#include <memory>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/http/edge_message.h"

namespace jacinthdeck {

class EdgeConnection;

/*! \brief Receives requests and answers each of them once on its connection. */
class EdgeHandler {
 public:
  virtual ~EdgeHandler() = default;

  /**
   * \brief Handles a complete request.
   *
   * The connection delivers no other request before EdgeConnection::Respond()
   * is called, which may happen within this function or later.
   * \param connection Connection on which the request is answered.
   * \param request Complete request with its body.
   * \param arrived Time at which its last byte was read.
   */
  virtual void OnRequest(const std::shared_ptr<EdgeConnection>& connection,
                         EdgeRequest request,
                         TimePoint arrived) = 0;

  /*! \brief Called when the peer disconnects before its request is answered;
   * Respond() has no effect from then on. */
  virtual void OnDisconnect(EdgeConnection& connection) = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_EDGE_HANDLER_H_
