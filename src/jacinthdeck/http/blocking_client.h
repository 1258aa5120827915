// Blocking HTTP client for one call, used by command-line tools and tests.
#ifndef JACINTHDECK_HTTP_BLOCKING_CLIENT_H_
#define JACINTHDECK_HTTP_BLOCKING_CLIENT_H_

#include "jacinthdeck/core/endpoint.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/http/client_session.h"

namespace jacinthdeck {

/**
 * \brief Calls a server over a new connection and blocks until the response
 * arrives or the call fails.
 * \return The reply; if no response arrives within the timeout, its status is 0
 * and it holds the error.
 */
[[nodiscard]] ClientReply CallAndWait(const Endpoint& endpoint,
                                      const ClientRequest& request,
                                      Duration timeout);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_BLOCKING_CLIENT_H_
