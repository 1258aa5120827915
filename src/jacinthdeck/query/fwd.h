// Forward declarations of the query module: scatter, gather, snapshots,
// coverage, merging.
#ifndef JACINTHDECK_QUERY_FWD_H_
#define JACINTHDECK_QUERY_FWD_H_

namespace jacinthdeck {

class Coverage;
class Engine;
class LatencyQuantile;
class Merger;
class VersionCatalog;
class WaitingAttempts;
struct Answer;
struct AttemptReply;
struct Call;
struct CancelAttempt;
struct DeliverAnswer;
struct Effects;
struct EngineCounters;
struct EngineOptions;
struct Hit;
struct KeyRange;
struct Merged;
struct PartitionMap;
struct SendAttempt;
struct Shard;
struct ShardReply;
struct VersionChoice;
struct VersionRequest;
struct WaitingAttempt;
struct WaitingKey;
enum class AnswerReason;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_FWD_H_
