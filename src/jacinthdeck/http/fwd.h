// Forward declarations of the http module: connections from callers and to
// targets and the store, all on one event loop.
#ifndef JACINTHDECK_HTTP_FWD_H_
#define JACINTHDECK_HTTP_FWD_H_

namespace jacinthdeck {

class CallerMemory;
class CarriedIds;
class ClientSession;
class EdgeConnection;
class EdgeHandler;
class EdgeServer;
class LoopTimer;
class TargetConnection;
class TargetPool;
class TargetPoolSink;
struct ClientReply;
struct ClientRequest;
struct EdgeLimits;
struct EdgeRequest;
struct EdgeResponse;
struct TargetProtocol;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_FWD_H_
