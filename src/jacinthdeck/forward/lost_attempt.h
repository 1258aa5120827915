// Lost connections that the trace of no call contains.
#ifndef JACINTHDECK_FORWARD_LOST_ATTEMPT_H_
#define JACINTHDECK_FORWARD_LOST_ATTEMPT_H_

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief An attempt whose connection ended after its call had, while the
 * target had the request. */
struct LostAttempt {
  AttemptId attempt;
  Fingerprint fingerprint;
  TargetId target;
  ServiceId service;
  //! From the sending of the attempt to its end.
  Duration took{};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_LOST_ATTEMPT_H_
