// Interface through which a TypedCallRunner reaches targets and callers.
#ifndef JACINTHDECK_TYPED_TYPED_PORT_H_
#define JACINTHDECK_TYPED_TYPED_PORT_H_

#include <cstdint>

#include "jacinthdeck/query/effects.h"
#include "jacinthdeck/routing/target_info.h"

namespace jacinthdeck {

/*! \brief Receives the decisions of a TypedCallRunner; no method may call back
 * into the runner before it returns. */
class TypedPort {
 public:
  virtual ~TypedPort() = default;

  /**
   * \brief Sends an attempt to its target. Its end must be reported exactly
   * once with TypedCallRunner::OnReply(), unless it is cancelled.
   *
   * \param connection_limit Connections that this host may hold to the target.
   */
  virtual void SendTyped(const SendAttempt& attempt,
                         const TargetInfo& target,
                         std::uint32_t connection_limit) = 0;

  /*! \brief Cancels an attempt; its end must not be reported any more. */
  virtual void CancelTyped(AttemptId attempt) = 0;

  /*! \brief Sends a caller its final answer. */
  virtual void DeliverTyped(CallId call, Answer answer) = 0;

  /*! \brief Tells the other hosts that a target crashed under a request. */
  virtual void ShareTypedSuspect(Fingerprint fingerprint) = 0;

  /*! \brief Tells the other hosts that a request crashes its targets. */
  virtual void ShareTypedQuarantine(Fingerprint fingerprint) = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TYPED_TYPED_PORT_H_
