// What the forwarder decided on a call, for logs and metrics.
#ifndef JACINTHDECK_FORWARD_CALL_TRACE_H_
#define JACINTHDECK_FORWARD_CALL_TRACE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/attempt_end.h"
#include "jacinthdeck/forward/route.h"
#include "jacinthdeck/forward/routing_config.h"
#include "jacinthdeck/forward/usual_latency.h"

namespace jacinthdeck {

/*! \brief One attempt of a call. */
struct AttemptTrace {
  AttemptId id;
  //! Position of the shard in the route; 0 without fan-out.
  std::uint32_t shard = 0;
  TargetId target;
  AttemptReason reason = AttemptReason::kFirst;
  //! Time from the arrival of the call to the sending of the attempt.
  Duration sent{};
  //! Time from the sending to the end of the attempt; negative until it ends.
  Duration took{-1};
  //! Valid once the attempt has ended.
  AttemptOutcome outcome = AttemptOutcome::kResponse;
  //! HTTP status of the response, with AttemptOutcome::kResponse.
  int status = 0;
};

/*! \brief Decisions on a call, and the data that they were based on. */
struct CallTrace {
  //! Null if no configuration was known.
  std::shared_ptr<const RoutingConfig> config;
  //! Null if no route matched; points into config.
  const Route* route = nullptr;
  //! Equal for equal requests; identifies a request that is repeated.
  Fingerprint fingerprint;
  //! Service that the traffic split chose; empty for a fan-out.
  ServiceId service;
  std::uint32_t shards = 0;
  std::uint32_t answered = 0;
  //! Expected delay when the call was admitted or refused.
  Duration expected{};
  //! Number of shards without a target that had a free slot when the call was
  //! admitted or refused; a call for one service counts as one shard.
  std::uint32_t full_shards = 0;
  //! Number of shards without a target that had capacity for one more attempt
  //! of this host at that time.
  std::uint32_t shards_without_capacity = 0;
  //! Number of targets that accept requests, of the shard that has the fewest.
  std::uint32_t fewest_targets = 0;
  //! Time for which the call waited to start, or to be refused; zero if it did
  //! not wait.
  Duration waited{};
  //! Estimated number of starts up to that of the call when it began to wait;
  //! 0 if it did not wait.
  std::uint32_t queue_place = 0;
  //! Latency of the route from which `expected` was computed.
  LatencyEstimate route_latency;
  //! Positions in the route of the shards that are missing from the answer.
  std::vector<std::uint32_t> missing;
  //! Extra attempts that were not sent because the budget of a service was
  //! exhausted.
  std::uint32_t budget_refusals = 0;
  std::vector<AttemptTrace> attempts;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_CALL_TRACE_H_
