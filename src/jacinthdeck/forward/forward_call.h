// A request that is submitted to the forwarder.
#ifndef JACINTHDECK_FORWARD_FORWARD_CALL_H_
#define JACINTHDECK_FORWARD_FORWARD_CALL_H_

#include <memory>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/opaque_request.h"

namespace jacinthdeck {

/*! \brief One submitted request. */
struct ForwardCall {
  CallId id;
  //! Never null.
  std::shared_ptr<const OpaqueRequest> request;
  TimePoint arrived;
  //! When the caller stops waiting; TimePoint::max() if it set no deadline.
  TimePoint deadline = TimePoint::max();
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_FORWARD_CALL_H_
