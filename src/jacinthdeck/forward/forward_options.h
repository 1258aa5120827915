// Settings of a forwarder.
#ifndef JACINTHDECK_FORWARD_FORWARD_OPTIONS_H_
#define JACINTHDECK_FORWARD_FORWARD_OPTIONS_H_

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/attempt_budget.h"

namespace jacinthdeck {

/*! \brief Settings of a forwarder. */
struct ForwardOptions {
  //! Id of this host.
  HostId host;
  FailureDomain domain;
  AttemptBudgetOptions budget;
  //! Time reserved for sending an answer to its caller.
  Duration answer_margin = std::chrono::milliseconds(12);
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_FORWARD_OPTIONS_H_
