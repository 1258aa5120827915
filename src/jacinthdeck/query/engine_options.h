// Bounds and delays of the engine, with the defaults that the daemons use.
#ifndef JACINTHDECK_QUERY_ENGINE_OPTIONS_H_
#define JACINTHDECK_QUERY_ENGINE_OPTIONS_H_

#include <cstddef>
#include <cstdint>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/query/admission_options.h"
#include "jacinthdeck/query/quarantine.h"

namespace jacinthdeck {

/*! \brief Bounds on what one call may send besides its first attempts. */
struct RetryOptions {
  //! Retries of one shard of a call.
  std::uint32_t retries_per_shard = 3;
  //! Retries of a whole call, over one for each of its shards.
  std::uint32_t spare_retries_per_call = 4;
  //! Hedges of one shard of a call; the router's budget is the tighter bound.
  std::uint32_t hedges_per_shard = 2;
  //! Hedge delays without an answer or a hedge after which a shard is retried
  //! beside its silent attempt.
  std::uint32_t refused_hedges_before_retry = 2;
  //! Restarts of a call on another index version.
  std::uint32_t restarts_per_call = 2;
  //! Pause before a target is asked again that was asked already; doubles with
  //! each retry. Without it a shedding shard would use up its retries at once.
  Duration initial_backoff = std::chrono::milliseconds(5);
};

/*! \brief Bounds on attempts that wait for a place on a target. */
struct WaitingOptions {
  //! Waiting attempts of all services together.
  std::size_t limit = 16384;
  //! How often waiting attempts ask again when no attempt finishes: places also
  //! come back when targets or entries come and go, which is no event here.
  Duration poll_interval = std::chrono::milliseconds(5);
};

/*! \brief Options of the engine. */
struct EngineOptions {
  RetryOptions retry;
  WaitingOptions waiting;
  AdmissionOptions admission;
  QuarantineOptions quarantine;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_ENGINE_OPTIONS_H_
