// Options set on every connected TCP socket.
#ifndef JACINTHDECK_HTTP_SOCKET_OPTIONS_H_
#define JACINTHDECK_HTTP_SOCKET_OPTIONS_H_

#include "jacinthdeck/http/asio.h"

namespace jacinthdeck {

/**
 * \brief Makes a socket non-blocking, disables Nagle's algorithm, and sets a
 * timeout on unacknowledged data.
 *
 * A peer that lost power acknowledges neither data nor keep-alive probes.
 * Without a timeout the connection would hang for minutes, and with it every
 * request that waits on it.
 */
void SetStreamOptions(tcp::socket& socket);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_SOCKET_OPTIONS_H_
