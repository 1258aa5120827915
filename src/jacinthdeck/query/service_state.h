// What the engine holds of each service.
#ifndef JACINTHDECK_QUERY_SERVICE_STATE_H_
#define JACINTHDECK_QUERY_SERVICE_STATE_H_

#include <cstddef>
#include <utility>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/query/admission_queue.h"
#include "jacinthdeck/query/latency_quantile.h"
#include "jacinthdeck/query/start_interval.h"

namespace jacinthdeck::internal {

/*! \brief Calls of one service and what was learned of its times. */
struct ServiceState {
  ServiceState(ServiceId service_id, const AdmissionOptions& options)
      : id(std::move(service_id)), queue(options) {}

  ServiceId id;
  //! Calls that run.
  std::size_t running_calls = 0;
  //! Calls that wait; while it holds any, no newcomer starts before them.
  AdmissionQueue queue;
  StartInterval start_interval;
  //! Time that an attempt rarely stays below.
  LatencyQuantile p10_attempt_latency{0.1};
  //! Time from the start of a call that its whole answer rarely exceeds.
  LatencyQuantile p95_call_latency{0.95};
};

}  // namespace jacinthdeck::internal

#endif  // JACINTHDECK_QUERY_SERVICE_STATE_H_
