// Attempts as the forwarder passes them to the transport, and how they end.
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
  //! A complete response arrived; the target executed the request.
  kResponse,
  //! The target reported that it did not execute the request.
  kNotExecuted,
  //! The address belongs to another target, or to another process of the same
  //! target; the request was not executed.
  kWrongTarget,
  //! No byte of the request left this host.
  kNotSent,
  //! The connection ended before a complete response arrived; the target may
  //! have executed the request.
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

/*! \brief One attempt: a request that is sent to one target. */
struct OutgoingAttempt {
  AttemptId id;
  TargetEntry target;
  //! Shared by all attempts of a call.
  std::shared_ptr<const OpaqueRequest> request;
  //! When the caller stops waiting; the target is told the remaining time.
  TimePoint deadline;
  //! Maximum number of connections to the target that this host may hold.
  std::uint32_t connection_limit = 1;
  //! The request must not be executed twice, so it must not be sent on a
  //! connection that the target may be closing.
  bool at_most_once = false;
  //! The connection is closed after the response. Standby hosts are many and
  //! have no share of the connections of a target: if each of them kept one
  //! open, the last target of a shard would exceed its connection limit and
  //! reset further connections. Connections that are held only during a request
  //! are few at any time.
  bool close_after_response = false;
};

/*! \brief Result of an attempt. */
struct AttemptEnd {
  AttemptId id;
  AttemptOutcome outcome = AttemptOutcome::kBroken;
  //! Valid with kResponse.
  TargetResponse response;
  std::optional<LoadReport> load;
  //! The connection was refused, as when the target has ended. Valid with
  //! kNotSent.
  bool unreachable = false;
  //! The connection was accepted and then reset, which does not show that the
  //! target has ended. Valid with kNotSent.
  bool reset = false;
  //! The connection ended by itself while the target had the request, as it
  //! does when the target crashes.
  bool connection_lost = false;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_ATTEMPT_END_H_
