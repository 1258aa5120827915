// What decides the place of a call that waits to start.
#ifndef JACINTHDECK_FORWARD_WAITING_CALL_H_
#define JACINTHDECK_FORWARD_WAITING_CALL_H_

#include <cstdint>
#include <string>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief A call that waits to start. */
struct WaitingCall {
  CallId id;
  //! Calls of a group wait for the same targets: the first service of the call.
  ServiceId group;
  //! Calls of a flow share its part of the starts.
  std::string flow;
  //! Share of the flow relative to those of the others; above zero.
  double weight = 1;
  //! What a start counts against the flow; above zero.
  double cost = 1;
  //! 0 is the most urgent.
  std::uint32_t priority = 0;
  //! The caller was refused before, and has no time to return once more.
  bool returning = false;
  TimePoint arrived;
  //! Latest start at which the call still competes with those that meet their
  //! objective.
  TimePoint in_time_until;
  //! Latest start at which the call can be answered by its deadline.
  TimePoint start_by;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_WAITING_CALL_H_
