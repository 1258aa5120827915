// Forward declarations of the discovery module: what the platform's store says
// of configuration, targets and hosts.
#ifndef JACINTHDECK_DISCOVERY_FWD_H_
#define JACINTHDECK_DISCOVERY_FWD_H_

namespace jacinthdeck {

class DirectoryChoice;
class HostRegistry;
class Knowledge;
class KnowledgeObserver;
class PlatformCodec;
class RemovalHold;
class StoreSession;
class TargetRegistry;
struct HostRecord;
struct StoreChange;
struct StoreItem;
struct StorePage;
struct WatchBatch;
enum class KeyKind;
enum class StoreStatus;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_FWD_H_
