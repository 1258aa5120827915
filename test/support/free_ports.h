// Ports for a host that is started by a test.
#ifndef JACINTHDECK_TEST_SUPPORT_FREE_PORTS_H_
#define JACINTHDECK_TEST_SUPPORT_FREE_PORTS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "jacinthdeck/http/asio.h"

namespace jacinthdeck {

/*! \brief Picks different ports at a host's address, which no connection has as
 * its source, so that they are still free when the host opens them. */
[[nodiscard]] inline std::vector<std::uint16_t> FreePorts(const char* address,
                                                          std::size_t count) {
  asio::io_context loop;
  const tcp::endpoint any(asio::ip::make_address_v4(address), 0);
  std::vector<tcp::acceptor> held;
  std::vector<std::uint16_t> ports;
  while (ports.size() < count) {
    ports.push_back(held.emplace_back(loop, any).local_endpoint().port());
  }
  return ports;
}

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TEST_SUPPORT_FREE_PORTS_H_
