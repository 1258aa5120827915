// HTTP requests that a server of this host receives and the responses to them.
#ifndef JACINTHDECK_HTTP_EDGE_MESSAGE_H_
#define JACINTHDECK_HTTP_EDGE_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "jacinthdeck/core/byte_budget.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/opaque_request.h"

namespace jacinthdeck {

/*! \brief Limits on the size and duration of requests. */
struct EdgeLimits {
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = 1048576;
  //! Time from the first byte of a request to the end of its header.
  Duration header_timeout = std::chrono::seconds(10);
  //! Time for which a connection without a request stays open.
  Duration idle_timeout = std::chrono::seconds(60);
};

/*! \brief Returns an upper bound of the memory that one request within the
 * limits takes. */
[[nodiscard]] std::uint64_t LargestRequestBytes(const EdgeLimits& limits);

/*! \brief Complete HTTP request. */
struct EdgeRequest {
  std::string method;
  //! Path and query exactly as sent.
  std::string target;
  std::string host;
  //! All headers except Host, Content-Length, Expect and hop-by-hop headers.
  std::vector<Header> headers;
  std::string body;
  bool has_body = false;
  //! Its part of the memory for requests; null for a small one. Whoever keeps
  //! the request keeps this, too.
  std::shared_ptr<const HeldBytes> held;

  /*! \brief Returns the memory that the request takes, in bytes. */
  [[nodiscard]] std::size_t bytes() const;

  /*! \brief Returns the first value of a header, whose name is compared without
   * case; empty if the header is absent. */
  [[nodiscard]] std::string_view Find(std::string_view name) const;
};

/*! \brief HTTP response; EdgeConnection adds Content-Length and Connection. */
struct EdgeResponse {
  int status = 200;
  //! Reason phrase; if empty, the standard phrase of the status is sent.
  std::string reason;
  std::vector<Header> headers;
  std::string body;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_EDGE_MESSAGE_H_
