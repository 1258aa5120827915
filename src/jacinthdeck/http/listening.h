// Binds the listening socket of a server.
#ifndef JACINTHDECK_HTTP_LISTENING_H_
#define JACINTHDECK_HTTP_LISTENING_H_

#include <cstdint>
#include <string>

#include "jacinthdeck/core/result.h"
#include "jacinthdeck/http/asio.h"

namespace jacinthdeck {

/**
 * \brief Opens an acceptor, binds it to an address and port, and listens.
 * \param acceptor Closed acceptor.
 * \param address IPv4 address in dotted decimal form.
 * \param port Port; 0 lets the kernel choose one.
 * \return Nothing, or kUnavailable with address and port as subject if any step
 * fails.
 */
Result<void> StartListening(tcp::acceptor& acceptor,
                            const std::string& address,
                            std::uint16_t port);

/*! \brief Returns the port on which an acceptor listens; 0 if it is closed. */
[[nodiscard]] std::uint16_t ListeningPort(const tcp::acceptor& acceptor);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_LISTENING_H_
