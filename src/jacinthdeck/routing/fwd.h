// Forward declarations of the routing module.
#ifndef JACINTHDECK_ROUTING_FWD_H_
#define JACINTHDECK_ROUTING_FWD_H_

namespace jacinthdeck {

class DecayingAverage;
template <typename Item, typename Flow>
class FairQueue;
class HedgePolicy;
class HostCountWindow;
class InFlightWindow;
class LatencyHistogram;
class LoadHint;
class ReplicaChooser;
class Router;
class ServiceRecord;
class TargetHealth;
class TargetRecord;
class TokenBudget;
struct AttemptResult;
struct ConnectionPlan;
struct ReplicaView;
struct RouteRequest;
struct RouterCounters;
struct RouterOptions;
struct TargetInfo;
struct TargetSnapshot;
enum class AttemptKind;
enum class AttemptStatus;
enum class HealthSample;
enum class HealthState;
enum class RouteRefusal;
enum class TargetRank;
enum class TargetState;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_FWD_H_
