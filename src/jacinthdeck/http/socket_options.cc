// Sets TCP_USER_TIMEOUT, which is specific to Linux, with setsockopt().
#include "jacinthdeck/http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jacinthdeck {

namespace {

//! Time in milliseconds after which unacknowledged data closes the connection:
//! shorter than any caller waits, longer than TCP needs to resend a lost
//! packet.
constexpr int kUserTimeoutMilliseconds = 4000;

}  // namespace

void SetStreamOptions(tcp::socket& socket) {
  SystemError ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(tcp::no_delay(true), ignored);
  (void)setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                   &kUserTimeoutMilliseconds, sizeof(kUserTimeoutMilliseconds));
}

}  // namespace jacinthdeck
