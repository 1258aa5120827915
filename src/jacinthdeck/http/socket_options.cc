// Linux spells some of these options itself.
#include "jacinthdeck/http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jacinthdeck {

namespace {

//! Unacknowledged data ends the connection after this time, in milliseconds:
//! shorter than any caller waits, longer than a lost packet is resent.
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
