// Per-service state of the engine.
#ifndef JACINTHDECK_QUERY_SERVICE_STATE_H_
#define JACINTHDECK_QUERY_SERVICE_STATE_H_

#include <cstddef>
#include <utility>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/query/admission_options.h"
#include "jacinthdeck/query/admission_queue.h"
#include "jacinthdeck/query/latency_quantile.h"
#include "jacinthdeck/query/start_interval.h"

namespace jacinthdeck::internal {

/*! \brief Running and waiting calls of a service and its measured latencies. */
struct ServiceState {
  ServiceState(ServiceId service_id, const AdmissionOptions& options)
      : id(std::move(service_id)), queue(options.max_waiting_calls) {}

  ServiceId id;
  //! Number of calls that run.
  std::size_t running_calls = 0;
  //! Calls that wait to run; while it holds any, a new call joins it instead of
  //! starting at once.
  AdmissionQueue queue;
  StartInterval start_interval;
  //! Latency that only 10 % of the answered attempts stay below; the least time
  //! that an attempt is assumed to need.
  LatencyQuantile p10_attempt_latency{0.1};
  //! Time from the start of a call to its whole answer, exceeded by only 5 % of
  //! the calls.
  LatencyQuantile p95_call_latency{0.95};
};

}  // namespace jacinthdeck::internal

#endif  // JACINTHDECK_QUERY_SERVICE_STATE_H_
