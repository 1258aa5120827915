// Interface through which the target pool reports the ends of attempts.
#ifndef JACINTHDECK_HTTP_TARGET_POOL_SINK_H_
#define JACINTHDECK_HTTP_TARGET_POOL_SINK_H_

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/forward/attempt_end.h"
#include "jacinthdeck/forward/unresolved_attempts.h"

namespace jacinthdeck {

/*! \brief Receives the end of each attempt exactly once, unless the attempt is
 * cancelled; never from within TargetPool::Send(), Cancel() or Retain(). */
class TargetPoolSink {
 public:
  virtual ~TargetPoolSink() = default;

  /*! \brief Handles the end of an attempt.
   * \param end End of the attempt; its response may be moved from. */
  virtual void OnAttemptEnd(AttemptEnd& end) = 0;

  /*! \brief Handles the result of TargetPool::CheckTarget(). */
  virtual void OnTargetChecked(const TargetId& target, TargetCheck result) = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_TARGET_POOL_SINK_H_
