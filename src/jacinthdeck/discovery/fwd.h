// Forward declarations of the discovery module: what the platform's store says
// of configuration, targets and hosts.
#ifndef JACINTHDECK_DISCOVERY_FWD_H_
#define JACINTHDECK_DISCOVERY_FWD_H_

namespace jacinthdeck {

class Knowledge;
class KnowledgeObserver;
class MemberRecords;
class PlatformCodec;
class RecordWriterChoice;
class RemovalHold;
class RestoreDoubt;
class StoreContent;
class StoreSession;
struct Evacuation;
struct HeldRecord;
struct HostRecord;
struct MemberWrite;
struct StoreChange;
struct StorePage;
struct StoreReading;
struct StoreWrite;
struct TargetReading;
struct WatchBatch;
enum class KeyKind;
enum class RecordWriter;
enum class StoreStatus;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_FWD_H_
