// A request that is forwarded without being interpreted, and the response to
// it.
#ifndef JACINTHDECK_FORWARD_OPAQUE_REQUEST_H_
#define JACINTHDECK_FORWARD_OPAQUE_REQUEST_H_

#include <cstddef>
#include <memory>
#include <numeric>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jacinthdeck/core/byte_budget.h"

namespace jacinthdeck {

//! Memory of a header field beside its text, in bytes.
inline constexpr std::size_t kFieldBytes = 128;

/*! \brief Header field; the name keeps the spelling of the sender. */
struct Header {
  std::string name;
  std::string value;
};

/*! \brief Request that is forwarded unchanged. */
struct OpaqueRequest {
  std::string method;
  //! Path and query as the caller sent them.
  std::string target;
  //! Value of the Host header.
  std::string host;
  //! End-to-end headers, without those that the forwarding host sets itself.
  std::vector<Header> headers;
  std::string body;
  //! Whether the request has a body, possibly an empty one.
  bool has_body = false;
  //! Id that the caller gave this attempt; empty if it sent none.
  std::string request_id;
  //! Client account that the target is told; empty for none.
  std::string tenant;
  //! Part of the memory for requests that it holds; null for a small one.
  std::shared_ptr<const HeldBytes> held;
  //! Text of the head that all attempts share; empty until the transport writes
  //! it for the first one.
  mutable std::string shared_head;

  /*! \brief Returns the path without its query. */
  [[nodiscard]] std::string_view path() const {
    return std::string_view(target).substr(0, target.find('?'));
  }
};

/*! \brief Response of a target. */
struct TargetResponse {
  int status = 0;
  std::string reason;
  //! End-to-end headers.
  std::vector<Header> headers;
  std::string body;
  //! Proof that the response comes from the target; empty if there is none.
  std::string stamp;
  //! The body was encoded in transit, so it is not the body that the target
  //! sent.
  bool encoded = false;

  [[nodiscard]] bool succeeded() const noexcept {
    return status >= 200 && status < 300;
  }
  /*! \brief Returns the memory that the response takes, in bytes. */
  [[nodiscard]] std::size_t bytes() const {
    return std::accumulate(headers.begin(), headers.end(), body.size(),
                           [](std::size_t sum, const Header& header) {
                             return sum + header.name.size() +
                                    header.value.size() + kFieldBytes;
                           });
  }
  [[nodiscard]] bool is_server_error() const noexcept { return status >= 500; }
  /*! \brief Returns whether callers take the status for a promise that the
   * request has not run and never will. */
  [[nodiscard]] bool promises_not_run() const noexcept {
    return status == 408 || status == 421 || status == 429 || status == 503;
  }
  /*! \brief Returns whether the body is the one that the target sent. */
  [[nodiscard]] bool is_intact() const noexcept {
    return !stamp.empty() && !encoded;
  }
  /*! \brief Returns whether the target ran the request to its end. An error
   * does not show it: a failing target may return one without running it. */
  [[nodiscard]] bool answers_request() const noexcept {
    return succeeded() ? is_intact() : !is_server_error();
  }
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_OPAQUE_REQUEST_H_
