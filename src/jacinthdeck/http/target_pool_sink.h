// Receiver of the ends of attempts.
#ifndef JACINTHDECK_HTTP_TARGET_POOL_SINK_H_
#define JACINTHDECK_HTTP_TARGET_POOL_SINK_H_

#include "jacinthdeck/forward/attempt_end.h"

namespace jacinthdeck {

/*! \brief Gets the end of each attempt once; never from within a call to the
 * pool. */
class TargetPoolSink {
 public:
  virtual ~TargetPoolSink() = default;

  /*! \brief Takes an end; the response may be moved from. */
  virtual void OnAttemptEnd(AttemptEnd& end) = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_TARGET_POOL_SINK_H_
