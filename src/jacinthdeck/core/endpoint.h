// An IPv4 number and a port.
#ifndef JACINTHDECK_CORE_ENDPOINT_H_
#define JACINTHDECK_CORE_ENDPOINT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "jacinthdeck/core/result.h"

namespace jacinthdeck {

/*! \brief Where a process listens or connects to. */
struct Endpoint {
  //! IPv4 number in dotted form.
  std::string address;
  //! 0 lets the kernel pick one, where listening.
  std::uint16_t port = 0;

  [[nodiscard]] bool operator==(const Endpoint&) const = default;

  /*! \brief Renders `address:port`. */
  [[nodiscard]] std::string ToString() const;

  /*! \brief Reads `address:port`; kInvalidArgument for anything else. */
  [[nodiscard]] static Result<Endpoint> Parse(std::string_view text);
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_ENDPOINT_H_
