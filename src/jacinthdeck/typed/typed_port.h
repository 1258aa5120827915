// What the typed calls want done.
#ifndef JACINTHDECK_TYPED_TYPED_PORT_H_
#define JACINTHDECK_TYPED_TYPED_PORT_H_

#include <cstdint>

#include "jacinthdeck/query/effects.h"
#include "jacinthdeck/routing/target_info.h"

namespace jacinthdeck {

/*! \brief Receiver of the decisions; none of these may call back before it
 * returns. */
class TypedPort {
 public:
  virtual ~TypedPort() = default;

  /*! \brief Sends an attempt; its end must be reported exactly once, unless it
   * is cancelled. */
  virtual void SendTyped(const SendAttempt& attempt,
                         const TargetInfo& target,
                         std::uint32_t connection_limit) = 0;

  /*! \brief Drops an attempt; its end is not reported any more. */
  virtual void CancelTyped(AttemptId attempt) = 0;

  /*! \brief Gives a caller its final answer. */
  virtual void DeliverTyped(CallId call, Answer answer) = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TYPED_TYPED_PORT_H_
