// What the forwarder holds of each open call, shard and attempt.
#ifndef JACINTHDECK_FORWARD_PENDING_CALL_H_
#define JACINTHDECK_FORWARD_PENDING_CALL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/call_trace.h"
#include "jacinthdeck/forward/forward_answer.h"
#include "jacinthdeck/forward/forward_call.h"
#include "jacinthdeck/forward/latency_profile.h"
#include "jacinthdeck/forward/tracked_target.h"

namespace jacinthdeck::internal {

/*! \brief Where a part of an open call stands. */
enum class PartPhase { kOpen, kAnswered, kGivenUp };

/*! \brief One shard of a fan-out, or the whole of another request. */
struct CallPart {
  ServiceId service;
  PartPhase phase = PartPhase::kOpen;
  //! Why it is given up, or its last failure while it is open.
  ForwardReason reason = ForwardReason::kNone;
  std::vector<TargetId> tried;
  //! Attempts without an end.
  std::vector<AttemptId> in_flight;
  //! Attempts that a target ran, may have run, or may yet run.
  std::uint32_t runs = 0;
  //! Attempts that reached a target, or may yet: the first one is no extra.
  std::uint32_t arrivals = 0;
  std::uint32_t sends = 0;
  //! When a hedge is due.
  std::optional<TimePoint> hedge_at;
  //! When the next attempt is tried again that found no target with room.
  std::optional<TimePoint> retry_at;
  //! The answer once answered, else the last failure that a target sent.
  std::optional<TargetResponse> response;
};

/*! \brief A call without an answer. */
struct PendingCall {
  ForwardCall call;
  //! Pinned for the whole answer; never null.
  std::shared_ptr<const RoutingConfig> config;
  //! Lies in config; never null.
  const Route* route = nullptr;
  //! Profile of the route; never null, outlives the call.
  LatencyProfile* profile = nullptr;
  Fingerprint fingerprint;
  std::vector<CallPart> parts;
  std::size_t answered = 0;
  //! Connections that were lost while a target had the request.
  std::size_t lost = 0;
  //! Number of parts in phase kOpen.
  std::size_t open_parts = 0;
  //! When it gets its final answer at the latest.
  TimePoint final_at;
  //! When an answer without all shards goes out if enough are in.
  TimePoint partial_at;
  CallTrace trace;
};

/*! \brief An attempt without an end; it may outlive its call. */
struct PendingAttempt {
  CallId call;
  std::size_t part = 0;
  //! Never null; targets stay while attempts are in flight.
  TrackedTarget* target = nullptr;
  LatencyProfile* profile = nullptr;
  TimePoint sent;
  AttemptReason reason = AttemptReason::kFirst;
  //! It was paid from the budget of extra attempts.
  bool paid = false;
  Fingerprint fingerprint;
};

}  // namespace jacinthdeck::internal

#endif  // JACINTHDECK_FORWARD_PENDING_CALL_H_
