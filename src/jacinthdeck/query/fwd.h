// Forward declarations of the query module: the scatter-gather engine, index
// snapshots, key coverage and merging.
#ifndef JACINTHDECK_QUERY_FWD_H_
#define JACINTHDECK_QUERY_FWD_H_

namespace jacinthdeck {

class Coverage;
class Engine;
class LatencyQuantile;
class Merger;
class ProbeGate;
class Quarantine;
class StartInterval;
class VersionCatalog;
class WaitingAttempts;
struct AdmissionOptions;
struct Answer;
struct AttemptReply;
struct Call;
struct CancelAttempt;
struct DeliverAnswer;
struct Effects;
struct EngineCounters;
struct EngineOptions;
struct HeldShard;
struct Hit;
struct KeyRange;
struct Merged;
struct PartitionMap;
struct QuarantineEntry;
struct QuarantineOptions;
struct RetryOptions;
struct SendAttempt;
struct Shard;
struct ShardReply;
struct VersionChoice;
struct VersionRequest;
struct WaitingAttempt;
struct WaitingKey;
struct WaitingOptions;
enum class AnswerReason;
enum class QuarantineState;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_FWD_H_
