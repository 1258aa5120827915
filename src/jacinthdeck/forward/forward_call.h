// A request that is submitted to the forwarder.
#ifndef JACINTHDECK_FORWARD_FORWARD_CALL_H_
#define JACINTHDECK_FORWARD_FORWARD_CALL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

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
  //! Client account of the call; empty if it has none.
  TenantId tenant;
  //! Replaces the priority of the route.
  std::optional<std::uint32_t> priority;
  //! Calls of one flow share its part of the capacity: the client account, or
  //! the address of a caller without one.
  std::string flow;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_FORWARD_CALL_H_
