// Requests and responses of the servers' edge.
#ifndef JACINTHDECK_HTTP_EDGE_MESSAGE_H_
#define JACINTHDECK_HTTP_EDGE_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/opaque_request.h"

namespace jacinthdeck {

/*! \brief Bounds on what a peer may send, and how long it may take. */
struct EdgeLimits {
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = 1048576;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
};

/*! \brief A whole request. */
struct EdgeRequest {
  std::string method;
  //! Path and query as they were sent.
  std::string target;
  std::string host;
  //! All other headers but those of the connection and the body's framing.
  std::vector<Header> headers;
  std::string body;
  bool has_body = false;

  /*! \brief Value of a header; empty if it is absent. */
  [[nodiscard]] std::string_view Find(std::string_view name) const;
};

/*! \brief A response; its framing is the connection's business. */
struct EdgeResponse {
  int status = 200;
  //! Empty stands for the usual phrase of the status.
  std::string reason;
  std::vector<Header> headers;
  std::string body;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_EDGE_MESSAGE_H_
