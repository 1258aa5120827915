// The promises that the soak checks, and their violations.
#ifndef SOAK_PROMISE_H_
#define SOAK_PROMISE_H_

#include <string>

#include "jacinthdeck/core/name_table.h"

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
  //! In every window the requests of an account that ran are within its limit.
  kLimitHolds,
  kKeyIsNotPassedOn,
  //! Targets get the account of the key, whatever the caller sent.
  kAccountIsTrue,
  //! Requests answered 401 or 429 never ran.
  kRefusedNeverRan,
  //! A caller within its limit is not refused because of it in the calm
  //! period.
  kWithinLimitIsServed,
  //! Requests without a key that a configuration holds or held do not run.
  kKeyIsRequired,
  kRemovedKeyIsRefused,
  //! A key in force is not answered 401.
  kValidKeyIsTaken,
  //! An entry that got SIGTERM ends, whatever signals came with it; in a run
  //! with rolling restarts before the end of its grace period.
  kStopIsHeeded,
  //! An entry ends only by a signal of the plan, and no sanitizer reports.
  kEntryLives,
};

//! Names of the promises in reports.
inline constexpr NameTable<Promise, 20> kPromiseNames{
    {"runs_once",
     "not_run_is_true",
     "only_asked_runs",
     "one_layout",
     "config_in_time",
     "config_never_reverts",
     "left_target_gets_nothing",
     "evacuated_gets_nothing",
     "no_request_is_cut",
     "recovers",
     "limit_holds",
     "key_is_not_passed_on",
     "account_is_true",
     "refused_never_ran",
     "within_limit_is_served",
     "key_is_required",
     "removed_key_is_refused",
     "valid_key_is_taken",
     "stop_is_heeded",
     "entry_lives"}};

/*! \brief One violation of a promise. */
struct Violation {
  Promise promise;
  //! The request and the observed violation, for the report.
  std::string text;
};

}  // namespace jacinthdeck::soak

#endif  // SOAK_PROMISE_H_
