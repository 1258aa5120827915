// Forward declarations of the routing module: replica choice, limits, hedging,
// budgets.
#ifndef JACINTHDECK_ROUTING_FWD_H_
#define JACINTHDECK_ROUTING_FWD_H_

namespace jacinthdeck {

class Router;
struct RouteRequest;
struct RouterOptions;
struct TargetInfo;
enum class AttemptKind;
enum class AttemptStatus;
enum class RouteRefusal;
enum class TargetState;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_FWD_H_
