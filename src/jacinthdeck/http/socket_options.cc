// Sets TCP_USER_TIMEOUT, which is specific to Linux, with setsockopt().
#include "jacinthdeck/http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jacinthdeck {

void SetStreamOptions(tcp::socket& socket, Duration data_timeout) {
  const auto milliseconds = static_cast<unsigned int>(
      std::chrono::ceil<std::chrono::milliseconds>(data_timeout).count());
  SystemError ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(tcp::no_delay(true), ignored);
  (void)setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                   &milliseconds, sizeof(milliseconds));
}

}  // namespace jacinthdeck
