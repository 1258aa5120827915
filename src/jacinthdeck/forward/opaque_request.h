// A caller's request that is passed on without being understood.
#ifndef JACINTHDECK_FORWARD_OPAQUE_REQUEST_H_
#define JACINTHDECK_FORWARD_OPAQUE_REQUEST_H_

#include <string>
#include <utility>
#include <vector>

namespace jacinthdeck {

/*! \brief A header line; names keep the spelling of their sender. */
struct Header {
  std::string name;
  std::string value;
};

/*! \brief What is passed on unchanged. */
struct OpaqueRequest {
  std::string method;
  //! Path and query as they were sent.
  std::string target;
  //! Host header.
  std::string host;
  //! End-to-end headers without those that the system sets itself.
  std::vector<Header> headers;
  std::string body;
  //! The request came with a body, possibly an empty one.
  bool has_body = false;
  //! Id of this attempt of the caller; empty if it sent none.
  std::string request_id;
};

/*! \brief A target's response. */
struct TargetResponse {
  int status = 0;
  std::string reason;
  //! End-to-end headers.
  std::vector<Header> headers;
  std::string body;
  //! Proof of the target that the response is its own; empty if there is none.
  std::string stamp;
  //! The body was encoded on the way, so it is not the target's body.
  bool encoded = false;

  [[nodiscard]] bool succeeded() const noexcept {
    return status >= 200 && status < 300;
  }
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_OPAQUE_REQUEST_H_
