// Binds a listening socket; after a failed step the remaining ones are skipped.
#include "jacinthdeck/http/listening.h"

namespace jacinthdeck {

Result<void> StartListening(tcp::acceptor& acceptor,
                            const std::string& address,
                            std::uint16_t port) {
  SystemError error;
  const auto ip = asio::ip::make_address_v4(address, error);
  if (!error) {
    acceptor.open(tcp::v4(), error);
  }
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor.bind(tcp::endpoint(ip, port), error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Fail(ErrorCode::kUnavailable, address + ":" + std::to_string(port),
                "cannot listen: " + error.message());
  }
  return {};
}

std::uint16_t ListeningPort(const tcp::acceptor& acceptor) {
  SystemError ignored;
  return acceptor.local_endpoint(ignored).port();
}

}  // namespace jacinthdeck
