// State of the open calls of a forwarder, their parts and their attempts.
#ifndef JACINTHDECK_FORWARD_PENDING_CALL_H_
#define JACINTHDECK_FORWARD_PENDING_CALL_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "jacinthdeck/core/byte_budget.h"
#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/call_trace.h"
#include "jacinthdeck/forward/forward_answer.h"
#include "jacinthdeck/forward/forward_call.h"
#include "jacinthdeck/forward/latency_profile.h"
#include "jacinthdeck/forward/learned_target.h"
#include "jacinthdeck/forward/retry_gate.h"

namespace jacinthdeck::internal {

/*! \brief State of a part of a call. */
enum class PartPhase { kOpen, kAnswered, kGivenUp };

/*! \brief One shard of a fan-out, or the only part of a call for one service.
 */
struct CallPart {
  ServiceId service;
  PartPhase phase = PartPhase::kOpen;
  //! Why the part was given up, or its last failure while it is open.
  ForwardReason reason = ForwardReason::kNone;
  std::vector<TargetId> tried;
  //! Attempts that have not ended.
  std::vector<AttemptId> in_flight;
  //! Attempts that a target executed, may have executed, or may still execute.
  std::uint32_t runs = 0;
  //! Attempts that arrived at a target or may still do so; all but the first
  //! are extra attempts.
  std::uint32_t attempts_arrived = 0;
  std::uint32_t attempts_sent = 0;
  //! When a hedge is due.
  std::optional<TimePoint> hedge_at;
  //! When a target is looked for again after none had capacity.
  std::optional<TimePoint> retry_at;
  //! Whether its next attempt waits for the canary of the call.
  bool held = false;
  //! Response of the target if the part is answered, otherwise the last failure
  //! that a target returned.
  std::optional<TargetResponse> response;
};

/*! \brief A call that has not been answered. */
struct PendingCall {
  ForwardCall call;
  //! Part of the memory for calls: the bytes of its parts and of a failure that
  //! is kept while the call is tried again.
  HeldBytes held;
  //! Configuration used for the whole call; never null.
  std::shared_ptr<const RoutingConfig> config;
  //! Points into config; never null.
  const Route* route = nullptr;
  //! Latency profile of the route; never null, outlives the call.
  LatencyProfile* profile = nullptr;
  Fingerprint fingerprint;
  std::vector<CallPart> parts;
  //! Number of parts in phase kAnswered.
  std::size_t answered = 0;
  //! Number of parts in phase kOpen.
  std::size_t open_parts = 0;
  //! Latest time of the final answer.
  TimePoint final_at;
  //! Time from which an answer without all shards is delivered if enough have
  //! answered.
  TimePoint partial_at;
  RetryGate retry_gate;
  //! When a part last waited for the canary. The wait for capacity counts from
  //! then: the part would otherwise be given up where a retry sent at once
  //! would have found a target.
  TimePoint held_until;
  CallTrace trace;
};

/*! \brief Returns the priority of a call: that of its account, or else of its
 * route. */
[[nodiscard]] inline std::uint32_t PriorityOf(const PendingCall& pending) {
  return pending.call.priority.value_or(pending.route->priority);
}

/*! \brief Returns whether a target executed a part of the call, or may have
 * done so. */
[[nodiscard]] inline bool MayHaveRun(const PendingCall& pending) {
  return std::ranges::any_of(
      pending.parts, [](const CallPart& part) { return part.runs > 0; });
}

/*! \brief An attempt that has not ended; it may outlive its call. */
struct PendingAttempt {
  CallId call;
  std::size_t part = 0;
  //! Never null; a target is kept while it has attempts in flight.
  TrackedTarget* target = nullptr;
  LatencyProfile* profile = nullptr;
  TimePoint sent;
  AttemptReason reason = AttemptReason::kFirst;
  //! Whether the attempt was spent from the budget of extra attempts.
  bool paid = false;
  Fingerprint fingerprint;
  //! Whether the end of its target is the second round of crashes: the request
  //! was suspect when the attempt was sent, or it was a canary that became a
  //! probe.
  bool probe = false;
};

}  // namespace jacinthdeck::internal

#endif  // JACINTHDECK_FORWARD_PENDING_CALL_H_
