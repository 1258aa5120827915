// Options set on every connected TCP socket.
#ifndef JACINTHDECK_HTTP_SOCKET_OPTIONS_H_
#define JACINTHDECK_HTTP_SOCKET_OPTIONS_H_

#include <chrono>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/http/asio.h"

namespace jacinthdeck {

//! Timeout of unacknowledged data on links to other hosts, the store and
//! targets, which requests wait for: shorter than any caller waits, longer than
//! TCP needs to resend a lost packet.
inline constexpr Duration kLinkDataTimeout = std::chrono::seconds(4);

/**
 * \brief Makes a socket non-blocking, disables Nagle's algorithm, and sets a
 * timeout on unacknowledged data.
 *
 * A peer that lost power acknowledges neither data nor keep-alive probes.
 * Without a timeout the connection would hang for minutes, and with it every
 * request that waits on it. The timeout also ends the connection of a peer that
 * stops reading for as long.
 */
void SetStreamOptions(tcp::socket& socket,
                      Duration data_timeout = kLinkDataTimeout);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_SOCKET_OPTIONS_H_
