// Forward declarations of the entry module, which runs a host of the query tier
// as one process.
#ifndef JACINTHDECK_ENTRY_FWD_H_
#define JACINTHDECK_ENTRY_FWD_H_

namespace jacinthdeck {

class CallMetrics;
class CallerHandler;
class DecisionLog;
class EntryNode;
class EventLog;
class LogLine;
class LogWriter;
class SimpleHandler;
struct EntryProtocol;
struct EntrySettings;
struct HostTraffic;
enum class LogEvent;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_FWD_H_
