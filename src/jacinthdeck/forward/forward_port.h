// Interface through which the forwarder acts.
#ifndef JACINTHDECK_FORWARD_FORWARD_PORT_H_
#define JACINTHDECK_FORWARD_FORWARD_PORT_H_

#include <cstdint>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/forward/attempt_end.h"
#include "jacinthdeck/forward/call_trace.h"
#include "jacinthdeck/forward/crash_guard.h"
#include "jacinthdeck/forward/forward_answer.h"
#include "jacinthdeck/forward/lost_attempt.h"
#include "jacinthdeck/forward/target_entry.h"

namespace jacinthdeck {

/**
 * \brief Carries out the decisions of a forwarder.
 *
 * No function may call the forwarder before it returns.
 */
class ForwardPort {
 public:
  virtual ~ForwardPort() = default;

  /*! \brief Sends an attempt. Its end must be reported exactly once through
   * Forwarder::OnAttemptEnd(), unless it is cancelled. */
  virtual void Send(const OutgoingAttempt& attempt) = 0;

  /*! \brief Cancels an attempt; its end is no longer reported. */
  virtual void Cancel(AttemptId attempt) = 0;

  /*! \brief Delivers the final answer to a caller. */
  virtual void Deliver(CallId call,
                       ForwardAnswer answer,
                       const CallTrace& trace) = 0;

  /*! \brief Records an attempt whose connection ended after its call had, while
   * its target had the request. */
  virtual void OnAttemptLost(const LostAttempt& lost) = 0;

  /*! \brief Tells the other hosts that a target ended under a request. */
  virtual void ShareSuspect(const CrashEvidence& evidence) = 0;

  /*! \brief Tells the other hosts that a request crashes its targets. */
  virtual void ShareQuarantine(const CrashEvidence& evidence) = 0;

  /*! \brief Records that a request is no longer suspect. */
  virtual void OnSuspectCleared(const ClearingAnswer& answer) = 0;

  /*! \brief Records that the end of a target under a request is no evidence
   * against it. */
  virtual void OnCrashIgnored(const IgnoredCrash& crash) = 0;

  /*! \brief Records that a target refuses connections, or does no longer. */
  virtual void OnReachabilityChange(const TargetEntry& target,
                                    bool reachable) = 0;

  /**
   * \brief Checks whether a target accepts connections. The result is reported
   * through Forwarder::OnTargetChecked().
   * \param connection_limit Maximum number of connections to the target that
   * this host may hold.
   * \param keep Whether the connection may be kept for later attempts.
   */
  virtual void CheckTarget(const TargetEntry& target,
                           std::uint32_t connection_limit,
                           bool keep) = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_FORWARD_PORT_H_
