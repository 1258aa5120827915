// What the forwarder wants done.
#ifndef JACINTHDECK_FORWARD_FORWARD_PORT_H_
#define JACINTHDECK_FORWARD_FORWARD_PORT_H_

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/forward/attempt_end.h"
#include "jacinthdeck/forward/call_trace.h"
#include "jacinthdeck/forward/forward_answer.h"

namespace jacinthdeck {

/**
 * \brief Receiver of the forwarder's decisions.
 *
 * None of these may call back into the forwarder before it returns.
 */
class ForwardPort {
 public:
  virtual ~ForwardPort() = default;

  /*! \brief Sends an attempt; its end must be reported exactly once, unless it
   * is cancelled. */
  virtual void Send(const OutgoingAttempt& attempt) = 0;

  /*! \brief Drops an attempt; its end is not reported any more. */
  virtual void Cancel(AttemptId attempt) = 0;

  /*! \brief Gives a caller its final answer. */
  virtual void Deliver(CallId call,
                       ForwardAnswer answer,
                       const CallTrace& trace) = 0;

  /*! \brief Tells the other hosts that a request crashes its targets. */
  virtual void ShareQuarantine(Fingerprint fingerprint) = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_FORWARD_PORT_H_
