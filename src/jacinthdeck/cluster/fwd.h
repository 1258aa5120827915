// Forward declarations of the cluster module: what the entries share.
#ifndef JACINTHDECK_CLUSTER_FWD_H_
#define JACINTHDECK_CLUSTER_FWD_H_

namespace jacinthdeck {

class ClusterNode;
class ConfigCoordinator;
class ConfigReplica;
class EntryDirectory;
class MemberTable;
class Membership;
class OnceRegistry;
class TargetView;
class VoterKeeper;
struct ClusterEffects;
struct ClusterOptions;
struct ConfigValue;
struct Envelope;
struct MemberUpdate;
struct OperatorReply;
struct PeerCounters;
struct StoreReply;
struct StoreRequest;
enum class ChangeState;
enum class MemberHealth;
enum class MemberState;
enum class StoreStatus;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_FWD_H_
