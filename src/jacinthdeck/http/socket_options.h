// Options of every stream socket.
#ifndef JACINTHDECK_HTTP_SOCKET_OPTIONS_H_
#define JACINTHDECK_HTTP_SOCKET_OPTIONS_H_

#include "jacinthdeck/http/asio.h"

namespace jacinthdeck {

/**
 * \brief Makes a connected socket non-blocking, without delayed small writes,
 * and ends it when a peer stays silent.
 *
 * A peer that lost power answers neither data nor keep-alive probes; without
 * bounds the connection would hang for minutes and hold whatever waits on it.
 */
void SetStreamOptions(tcp::socket& socket);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_SOCKET_OPTIONS_H_
