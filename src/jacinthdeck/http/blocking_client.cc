// Implements the blocking call with an event loop that exists for its duration.
#include "jacinthdeck/http/blocking_client.h"

namespace jacinthdeck {

ClientReply CallAndWait(const Endpoint& endpoint,
                        const ClientRequest& request,
                        Duration timeout) {
  asio::io_context loop(1);
  ClientSession session(loop, endpoint.address, endpoint.port);
  ClientReply result;
  session.Call(request, timeout,
               [&](const ClientReply& reply) { result = reply; });
  loop.run();
  return result;
}

}  // namespace jacinthdeck
