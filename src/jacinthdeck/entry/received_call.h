// A call as it was received from a caller.
#ifndef JACINTHDECK_ENTRY_RECEIVED_CALL_H_
#define JACINTHDECK_ENTRY_RECEIVED_CALL_H_

#include <memory>

#include "jacinthdeck/forward/forward_call.h"
#include "jacinthdeck/forward/opaque_request.h"

namespace jacinthdeck {

/*! \brief A call whose request may still be changed. */
struct ReceivedCall {
  //! Its flow is the address of the caller.
  ForwardCall call;
  //! The request of the call; never null.
  std::shared_ptr<OpaqueRequest> request;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_RECEIVED_CALL_H_
