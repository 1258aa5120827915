// Forward declarations of the entry module, which runs a host of the query tier
// as one process.
#ifndef JACINTHDECK_ENTRY_FWD_H_
#define JACINTHDECK_ENTRY_FWD_H_

namespace jacinthdeck {

class AccountCounters;
class CallMetrics;
class CallerHandler;
class CrashLog;
class DecisionLog;
class EntryNode;
class EventLog;
class LogLine;
class LogWriter;
class RateLimitHub;
class RateLimitObserver;
class RequestLimiter;
class SimpleHandler;
class TenantGate;
class TenantGateSink;
struct EntryProtocol;
struct EntrySettings;
struct GateRefusal;
struct HostTraffic;
struct ReceivedCall;
enum class LogEvent;
enum class ReloadState;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_FWD_H_
