// What the decision thread asks of the thread that talks to targets.
#ifndef JACINTHDECK_RUNTIME_TARGET_COMMAND_H_
#define JACINTHDECK_RUNTIME_TARGET_COMMAND_H_

#include <cstdint>
#include <variant>

#include "jacinthdeck/query/effects.h"
#include "jacinthdeck/runtime/endpoint.h"

namespace jacinthdeck {

/*! \brief Send an attempt to a target. */
struct TargetSend {
  SendAttempt attempt;
  Endpoint endpoint;
  //! Most connections that may be open to the target from here.
  std::uint32_t connections = 1;
};

/*! \brief Cancel an attempt that was sent. */
struct TargetCancel {
  AttemptId attempt;
};

/*! \brief Any command to the target transport. */
using TargetCommand = std::variant<TargetSend, TargetCancel>;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_TARGET_COMMAND_H_
