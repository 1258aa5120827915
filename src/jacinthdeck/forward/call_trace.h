// What happened to a call, for logs and metrics.
#ifndef JACINTHDECK_FORWARD_CALL_TRACE_H_
#define JACINTHDECK_FORWARD_CALL_TRACE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/attempt_end.h"
#include "jacinthdeck/forward/latency_estimate.h"
#include "jacinthdeck/forward/route.h"
#include "jacinthdeck/forward/routing_config.h"

namespace jacinthdeck {

/*! \brief One attempt of a call. */
struct AttemptTrace {
  AttemptId id;
  //! Position of the shard in the route; 0 without fan-out.
  std::uint32_t shard = 0;
  TargetId target;
  AttemptReason reason = AttemptReason::kFirst;
  //! From the arrival of the call to the sending.
  Duration sent{};
  //! From the sending to the end; negative while it has not ended.
  Duration took{-1};
  //! Has a meaning once it has ended.
  AttemptOutcome outcome = AttemptOutcome::kResponse;
  //! Status of the response, with AttemptOutcome::kResponse.
  int status = 0;
};

/*! \brief What was decided on a call, and on which knowledge. */
struct CallTrace {
  //! Null if no configuration was known.
  std::shared_ptr<const RoutingConfig> config;
  //! Null if no route matched; lies in config.
  const Route* route = nullptr;
  //! The same for all that ask the same: tells a request that comes again.
  Fingerprint fingerprint;
  //! Service that the traffic split chose; empty for a fan-out.
  ServiceId service;
  std::uint32_t shards = 0;
  std::uint32_t answered = 0;
  //! Delay that was expected when it was admitted.
  Duration expected{};
  //! Shards, or 1 for the service, of which no target had a slot free when it
  //! was admitted or refused.
  std::uint32_t full_shards = 0;
  //! The same, of which no target had room for one more attempt of this host.
  std::uint32_t shards_without_capacity = 0;
  //! Targets that take work, of the shard that has fewest.
  std::uint32_t fewest_targets = 0;
  //! Latency of the route that `expected` was reckoned with.
  LatencyEstimate route_latency;
  //! Positions of the shards that the answer lacks.
  std::vector<std::uint32_t> missing;
  //! Extra attempts that the budget of a service refused.
  std::uint32_t budget_refusals = 0;
  std::vector<AttemptTrace> attempts;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_CALL_TRACE_H_
