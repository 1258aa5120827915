// Forward declarations of the forward module, which forwards opaque requests to
// targets.
#ifndef JACINTHDECK_FORWARD_FWD_H_
#define JACINTHDECK_FORWARD_FWD_H_

namespace jacinthdeck {

class AdmissionPolicy;
class AttemptBudget;
class ColdTargetLimiter;
class CrashGuard;
class FlowLoad;
class Forwarder;
class LatencyProfile;
class RetryGate;
class RoutingConfig;
class TargetPick;
class TargetSet;
class TrackedTarget;
class UnreachableTargets;
class UnresolvedAttempts;
class WaitingCalls;
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
struct WaitingCall;
enum class AttemptOutcome;
enum class ForwardReason;
enum class RepeatRule;
enum class ShedReason;
enum class TargetCheck;
enum class WaitClass;
enum class WaitRule;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_FWD_H_
