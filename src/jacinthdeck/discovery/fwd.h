// Forward declarations of the discovery module: a host's view of the
// configuration, targets and hosts in the platform's key-value store.
#ifndef JACINTHDECK_DISCOVERY_FWD_H_
#define JACINTHDECK_DISCOVERY_FWD_H_

namespace jacinthdeck {

class DiscoveryObserver;
class DiscoveryState;
class MemberRecords;
class PlatformCodec;
class RecordWriterChoice;
class RemovalHold;
class RestoreGuard;
class StoreContent;
class StoreSession;
struct DiscoveryTimes;
struct Evacuation;
struct FullRead;
struct HostRecord;
struct MemberWrite;
struct ParsedTarget;
struct StoreChange;
struct StorePage;
struct StoreWrite;
struct StoredRecord;
struct WatchBatch;
enum class KeyKind;
enum class RecordWriter;
enum class StoreStatus;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_FWD_H_
