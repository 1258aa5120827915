// Forward declarations of the forward module, which forwards opaque requests to
// targets.
#ifndef JACINTHDECK_FORWARD_FWD_H_
#define JACINTHDECK_FORWARD_FWD_H_

namespace jacinthdeck {

class AttemptBudget;
class ColdTargetLimiter;
class CrashGuard;
class Forwarder;
class LatencyProfile;
class RetryGate;
class RoutingConfig;
class TargetPick;
class TargetSet;
class TrackedTarget;
class UnreachableTargets;
class UnresolvedAttempts;
class WeightedRoundRobin;
struct AttemptEnd;
struct CrashEvidence;
struct ForwardAnswer;
struct ForwardCall;
struct ForwardOptions;
struct LatencyEstimate;
struct LoadReport;
struct OpaqueRequest;
struct OutgoingAttempt;
struct Route;
struct TargetEntry;
struct TargetResponse;
enum class AttemptOutcome;
enum class ForwardReason;
enum class RepeatRule;
enum class TargetCheck;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_FWD_H_
