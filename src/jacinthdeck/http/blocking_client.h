// Makes one call and waits for it, for command lines and tests.
#ifndef JACINTHDECK_HTTP_BLOCKING_CLIENT_H_
#define JACINTHDECK_HTTP_BLOCKING_CLIENT_H_

#include "jacinthdeck/core/endpoint.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/http/client_session.h"

namespace jacinthdeck {

/*! \brief Calls a server over a connection of its own and waits for the end. */
[[nodiscard]] ClientReply CallAndWait(const Endpoint& endpoint,
                                      const ClientRequest& request,
                                      Duration timeout);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_BLOCKING_CLIENT_H_
