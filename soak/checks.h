// Checks the promises of the system against the history of a run.
#ifndef SOAK_CHECKS_H_
#define SOAK_CHECKS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "soak/bounds.h"
#include "soak/history.h"
#include "soak/promise.h"

namespace jacinthdeck::soak {

/*! \brief Calls in the calm period at the end of a run. */
struct CalmCalls {
  std::size_t sent = 0;
  //! Calls with a successful answer; refusals do not count.
  std::size_t answered = 0;
};

/*! \brief Counts the calls sent after History::calm_since, except those that
 * accounts allow to refuse: without a key in force, or of an account that
 * exceeds its limit. */
[[nodiscard]] CalmCalls CountCalmCalls(const History& history);

/*! \brief Returns all violations in a run, in the order of the promises. */
[[nodiscard]] std::vector<Violation> FindViolations(const History& history,
                                                    const Bounds& bounds = {});

}  // namespace jacinthdeck::soak

#endif  // SOAK_CHECKS_H_
