// An IP number and a port.
#ifndef JACINTHDECK_RUNTIME_ENDPOINT_H_
#define JACINTHDECK_RUNTIME_ENDPOINT_H_

#include <cstdint>
#include <string>

namespace jacinthdeck {

/*! \brief Where a process listens or connects to. */
struct Endpoint {
  //! IPv4 number in dotted form.
  std::string address;
  //! 0 lets the kernel pick one, where listening.
  std::uint16_t port = 0;

  [[nodiscard]] bool operator==(const Endpoint&) const = default;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_ENDPOINT_H_
