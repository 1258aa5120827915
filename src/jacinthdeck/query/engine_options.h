// Limits and delays of the engine; the daemons use the defaults.
#ifndef JACINTHDECK_QUERY_ENGINE_OPTIONS_H_
#define JACINTHDECK_QUERY_ENGINE_OPTIONS_H_

#include <cstddef>
#include <cstdint>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/query/admission_options.h"
#include "jacinthdeck/query/quarantine.h"

namespace jacinthdeck {

/*! \brief Limits on the retries, hedges and restarts of one call. */
struct RetryOptions {
  //! Maximum retries of one shard of a call.
  std::uint32_t retries_per_shard = 3;
  //! Maximum retries of a call beyond one for each of its shards.
  std::uint32_t spare_retries_per_call = 4;
  //! Maximum hedges of one shard of a call; the router's hedge budget is the
  //! tighter limit.
  std::uint32_t hedges_per_shard = 2;
  //! Number of consecutive refused hedges after which a shard is retried while
  //! its unanswered attempt stays in flight. Hedges are asked for at intervals
  //! of the hedge delay.
  std::uint32_t refused_hedges_before_retry = 2;
  //! Maximum restarts of a call on another index version.
  std::uint32_t restarts_per_call = 2;
  //! Delay before a retry when every live replica has been tried; doubles with
  //! each retry of the shard. Without it, a shard that sheds load would use up
  //! its retries at once.
  Duration initial_backoff = std::chrono::milliseconds(5);
};

/*! \brief Limits on attempts that wait for capacity on a target. */
struct WaitingOptions {
  //! Maximum number of waiting attempts of all services together.
  std::size_t limit = 16384;
  //! Interval at which waiting attempts are tried again if no attempt finishes.
  //! Capacity also changes when targets or hosts join or leave, and the engine
  //! receives no event for that.
  Duration poll_interval = std::chrono::milliseconds(5);
};

/*! \brief Options of the engine, grouped by subject. */
struct EngineOptions {
  RetryOptions retry;
  WaitingOptions waiting;
  AdmissionOptions admission;
  QuarantineOptions quarantine;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_ENGINE_OPTIONS_H_
