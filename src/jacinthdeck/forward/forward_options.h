// Settings of a forwarder.
#ifndef JACINTHDECK_FORWARD_FORWARD_OPTIONS_H_
#define JACINTHDECK_FORWARD_FORWARD_OPTIONS_H_

#include <cstddef>
#include <cstdint>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/attempt_budget.h"

namespace jacinthdeck {

/*! \brief Which calls wait instead of being refused when their targets are
 * loaded. */
enum class WaitRule {
  kNever,
  //! Calls whose configuration has client accounts.
  kWithAccounts,
  kAlways,
};

/*! \brief Settings of a forwarder. */
struct ForwardOptions {
  //! Id of this host.
  HostId host;
  FailureDomain domain;
  AttemptBudgetOptions budget;
  //! Time reserved for sending an answer to its caller.
  Duration answer_margin = std::chrono::milliseconds(12);
  WaitRule wait_rule = WaitRule::kWithAccounts;
  //! Maximum number of calls that wait to start. Each holds its request.
  std::size_t max_waiting_calls = 256;
  //! Memory for the state of all open calls, in bytes; one call is always
  //! accepted.
  std::uint64_t call_memory = std::uint64_t{20} << 20U;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_FORWARD_OPTIONS_H_
