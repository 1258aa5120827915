// Checks the promises of the system against the history of a run.
#ifndef SOAK_CHECKS_H_
#define SOAK_CHECKS_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "jacinthdeck/core/name_table.h"
#include "soak/history.h"

namespace jacinthdeck::soak {

/*! \brief Guarantees of the system to its callers and operators. */
enum class Promise {
  kRunsOnce,
  kNotRunIsTrue,
  kOnlyAskedRuns,
  kOneLayout,
  kConfigInTime,
  kConfigNeverReverts,
  kLeftTargetGetsNothing,
  kEvacuatedGetsNothing,
  kNoRequestIsCut,
  kRecovers,
};

//! Names of the promises in reports.
inline constexpr NameTable<Promise, 10> kPromiseNames{
    {"runs_once", "not_run_is_true", "only_asked_runs", "one_layout",
     "config_in_time", "config_never_reverts", "left_target_gets_nothing",
     "evacuated_gets_nothing", "no_request_is_cut", "recovers"}};

/*! \brief One violation of a promise. */
struct Violation {
  Promise promise;
  //! The request and the observed violation, for the report.
  std::string text;
};

/*! \brief Time bounds of the promises, as users' installations configure them.
 */
struct Bounds {
  //! From the store's confirmation of a configuration until all entries use it.
  Duration apply = std::chrono::seconds(3);
  //! From the confirmation that a target leaves until no request reaches it.
  Duration drain = std::chrono::seconds(3);
  //! From the confirmation of an evacuation until no request reaches the
  //! domain. Operators evacuate in emergencies, so this bound is tighter than
  //! users require.
  Duration evacuate = std::chrono::seconds(1);
  //! From the end of a fault until the affected entry is checked again.
  Duration contact = std::chrono::seconds(4);
  //! After a call saw a configuration, later calls at that entry may still see
  //! the previous one for this long.
  Duration rollback = std::chrono::milliseconds(250);
  //! Minimum share of answered calls in the calm period.
  double recovered_share = 0.25;
};

/*! \brief Calls in the calm period at the end of a run. */
struct CalmCalls {
  std::size_t sent = 0;
  //! Calls with a successful answer; refusals do not count.
  std::size_t answered = 0;
};

/*! \brief Counts the calls sent after History::calm_since. */
[[nodiscard]] CalmCalls CountCalmCalls(const History& history);

/*! \brief Returns all violations in a run, in the order of the promises. */
[[nodiscard]] std::vector<Violation> FindViolations(const History& history,
                                                    const Bounds& bounds = {});

}  // namespace jacinthdeck::soak

#endif  // SOAK_CHECKS_H_
