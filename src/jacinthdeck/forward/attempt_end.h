// What the forwarder asks of the transport and what it is told of attempts.
#ifndef JACINTHDECK_FORWARD_ATTEMPT_END_H_
#define JACINTHDECK_FORWARD_ATTEMPT_END_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/load_report.h"
#include "jacinthdeck/forward/opaque_request.h"
#include "jacinthdeck/forward/target_entry.h"

namespace jacinthdeck {

/*! \brief How an attempt ended. */
enum class AttemptOutcome {
  //! A complete response came; the target ran the request.
  kResponse,
  //! The target said that it did not run it.
  kNotExecuted,
  //! Another target, or another life of it, has the address; it did not run it.
  kWrongTarget,
  //! No byte of the request left this host.
  kNotSent,
  //! The connection ended before a complete response; it may have run.
  kBroken,
};

//! Names of the outcomes, for logs and metrics.
inline constexpr NameTable<AttemptOutcome, 5> kAttemptOutcomeNames{
    {"response", "not_executed", "wrong_target", "not_sent", "broken"}};

/*! \brief Why an attempt is sent. */
enum class AttemptReason { kFirst, kHedge, kRetry };

//! Names of the reasons, for logs and metrics.
inline constexpr NameTable<AttemptReason, 3> kAttemptReasonNames{
    {"first", "hedge", "retry"}};

/*! \brief A request to one target. */
struct OutgoingAttempt {
  AttemptId id;
  TargetEntry target;
  //! Shared by all attempts of a call.
  std::shared_ptr<const OpaqueRequest> request;
  //! When the caller stops waiting; the target is told what is left.
  TimePoint deadline;
  //! Connections to the target that this host may hold.
  std::uint32_t connection_limit = 1;
  //! It must not run twice, so it must not be sent on a connection that the
  //! target may be closing.
  bool at_most_once = false;
  //! Its connection ends with the answer. Hosts that stand by are many and have
  //! no share of a target's connections: one kept by each of them takes the one
  //! target that a shard has left past its limit, and it resets the next ones.
  //! Held for a request alone, they are few at a time.
  bool close_after_response = false;
};

/*! \brief The end of an attempt. */
struct AttemptEnd {
  AttemptId id;
  AttemptOutcome outcome = AttemptOutcome::kBroken;
  //! With kResponse.
  TargetResponse response;
  std::optional<LoadReport> load;
  //! The connection ended by itself while the target had the request: what a
  //! crash of the target looks like.
  bool connection_lost = false;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_ATTEMPT_END_H_
