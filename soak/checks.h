// The promises, checked on what callers and targets saw.
#ifndef SOAK_CHECKS_H_
#define SOAK_CHECKS_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "jacinthdeck/core/name_table.h"
#include "soak/history.h"

namespace jacinthdeck::soak {

/*! \brief A promise that can be broken. */
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

/*! \brief One breach. */
struct Violation {
  Promise promise;
  //! Request and what was seen.
  std::string text;
};

/*! \brief Bounds of the promises, as the installations of the users set them.
 */
struct Bounds {
  //! From the store's confirmation of a configuration until it is in force.
  Duration apply = std::chrono::seconds(3);
  //! From the confirmation that a target leaves until no request reaches it.
  Duration drain = std::chrono::seconds(3);
  //! From the confirmation of an evacuation until no request reaches the
  //! domain.
  //! An order of an operator in an emergency: tighter than users ask.
  Duration evacuate = std::chrono::seconds(1);
  //! An entry is held to its bounds so long after the end of what harmed it.
  Duration contact = std::chrono::seconds(4);
  //! A request that follows the sight of a configuration may still see the one
  //! before, for so long.
  Duration rollback = std::chrono::milliseconds(250);
  //! Share of the calls in calm times that must be answered.
  double recovered_share = 0.25;
};

/*! \brief Calls of the calm time at the end of a run. */
struct CalmCalls {
  std::size_t sent = 0;
  std::size_t answered = 0;
};

[[nodiscard]] CalmCalls CountCalmCalls(const History& history);

/*! \brief All breaches in a run, in the order of the promises. */
[[nodiscard]] std::vector<Violation> FindViolations(const History& history,
                                                    const Bounds& bounds = {});

}  // namespace jacinthdeck::soak

#endif  // SOAK_CHECKS_H_
