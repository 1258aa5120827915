// IPv4 address and TCP port.
#ifndef JACINTHDECK_CORE_ENDPOINT_H_
#define JACINTHDECK_CORE_ENDPOINT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "jacinthdeck/core/result.h"

namespace jacinthdeck {

/*! \brief IPv4 address and port to listen on or to connect to. */
struct Endpoint {
  //! IPv4 address in dotted decimal notation.
  std::string address;
  //! Port; when listening, 0 lets the kernel choose a free one.
  std::uint16_t port = 0;

  [[nodiscard]] bool operator==(const Endpoint&) const = default;

  /*! \brief Formats the endpoint as `address:port`. */
  [[nodiscard]] std::string ToString() const;

  /*! \brief Parses `address:port`; fails with kInvalidArgument otherwise. */
  [[nodiscard]] static Result<Endpoint> Parse(std::string_view text);
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_ENDPOINT_H_
