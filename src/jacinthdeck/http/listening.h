// Opening the port of a server.
#ifndef JACINTHDECK_HTTP_LISTENING_H_
#define JACINTHDECK_HTTP_LISTENING_H_

#include <cstdint>
#include <string>

#include "jacinthdeck/core/result.h"
#include "jacinthdeck/http/asio.h"

namespace jacinthdeck {

/**
 * \brief Opens, binds and listens.
 * \param acceptor A closed one.
 * \param address IPv4 number.
 * \param port 0 lets the kernel pick.
 * \return kUnavailable, naming address and port, if any step fails.
 */
Result<void> StartListening(tcp::acceptor& acceptor,
                            const std::string& address,
                            std::uint16_t port);

/*! \brief Port that an acceptor listens on; 0 if it is closed. */
[[nodiscard]] std::uint16_t ListeningPort(const tcp::acceptor& acceptor);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_LISTENING_H_
