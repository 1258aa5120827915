// The recorded events of one soak run. All times are readings of the machine's
// boot-time clock, which every process of the run shares.
#ifndef SOAK_HISTORY_H_
#define SOAK_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jacinthdeck/core/time.h"
#include "soak/account.h"
#include "soak/account_settings.h"
#include "soak/credentials.h"
#include "soak/record.h"

namespace jacinthdeck::soak {

/*! \brief Kind of a request; decides whether it may run more than once. */
enum class CallKind {
  //! Goes to one target and must run at most once.
  kClaim,
  //! Goes to one target; may run repeatedly.
  kLookup,
  //! Fans out to all shards; may run repeatedly.
  kQuery,
  //! Goes to one target by a public route, which needs no key; may run
  //! repeatedly.
  kPublic,
  //! Goes to one target, which takes seconds for some of them, and must run at
  //! most once.
  kSlow,
};

/*! \brief Outcome of a call as its caller observed it. */
enum class CallEnd { kAnswered, kClosed, kTimedOut, kNotSent };

/*! \brief One request of a caller; its id is unique within the run. */
struct Call {
  std::string id;
  CallKind kind = CallKind::kLookup;
  //! Empty in a run without accounts.
  Credentials credentials;
  //! Number of the entry process; a restarted entry gets a new number.
  std::size_t entry = 0;
  TimePoint sent;
  TimePoint ended;
  CallEnd end = CallEnd::kAnswered;
  //! HTTP status; 0 if no answer arrived.
  int status = 0;
  //! Reason that an entry gives for a refusal; empty for a successful answer.
  std::string reason;
  //! Decoded body of a successful answer; empty for any other.
  std::vector<Record> records;
};

/*! \brief Records that a target started to execute a request. */
struct Run {
  std::string request;
  std::string target;
  TimePoint at;
  //! Value of the account header that came with the request; empty if none did.
  std::string account = {};
  //! Whether a key header came with the request.
  bool has_key = false;
};

/*! \brief Accounts of a configuration that operators or a restore of the store
 * put in force. */
struct AccountVersion {
  //! Just before it was written to the store.
  TimePoint written;
  //! When the store had confirmed the next one that was written; max() for the
  //! last. A version that a restore of the store lost stays in force at the
  //! entries until operators write again.
  TimePoint replaced = TimePoint::max();
  std::vector<Account> accounts;
};

/*! \brief Records when the store confirmed the configuration of a layout. */
struct LayoutChange {
  std::uint32_t layout = 0;
  TimePoint confirmed;
};

/*! \brief Records when the store confirmed that a target is draining. */
struct TargetDeparture {
  std::string target;
  TimePoint confirmed;
};

/*! \brief Assigns a target to its failure domain. */
struct Placement {
  std::string target;
  std::string domain;
};

/*! \brief Period in which no request may be sent to a failure domain. */
struct EvacuationPeriod {
  std::string domain;
  //! When the store confirmed the evacuation.
  TimePoint confirmed;
  //! When its end was requested; max() while it lasts.
  TimePoint ended = TimePoint::max();
};

/*! \brief Which checks an entry is exempt from while a fault affects it. */
enum class FaultEffect {
  //! Checks of propagation: the entry may not receive changes.
  kPropagation,
  //! Checks of cut requests: its connections to callers may close.
  kConnections,
  //! Checks of cut requests that are sent from then on: the platform would have
  //! killed the entry, which got SIGTERM.
  kStopOverdue,
};

/*! \brief Period in which a fault affected an entry, its links or its store. */
struct FaultPeriod {
  std::size_t entry = 0;
  FaultEffect effect = FaultEffect::kPropagation;
  TimePoint from;
  TimePoint to = TimePoint::max();
};

/*! \brief How the process of an entry ended, and what it was told before. */
struct EntryOutcome {
  //! Name and number of the process, as in the name of its log.
  std::string entry;
  //! Whether the plan sent SIGTERM.
  bool stop_sent = false;
  //! Whether the plan sent SIGKILL.
  bool kill_sent = false;
  //! As waitpid() reports it; std::nullopt if it runs at the end of the run.
  std::optional<int> wait_status;
  //! First line of a sanitizer's report in its output; empty if there is none.
  std::string sanitizer_report;
};

/*! \brief Everything that was recorded in one run. */
struct History {
  std::vector<Call> calls;
  std::vector<Run> runs;
  std::vector<LayoutChange> layouts;
  std::vector<TargetDeparture> departures;
  std::vector<Placement> placements;
  std::vector<EvacuationPeriod> evacuations;
  std::vector<FaultPeriod> fault_periods;
  //! Names of the entries that still ran at the end of the run although they
  //! had got SIGTERM.
  std::vector<std::string> unheeded_stops;
  //! Names and numbers of the entry processes that were killed because they
  //! still ran at the end of the grace period, except frozen ones.
  std::vector<std::string> overdue_stops;
  //! One for each process of an entry, in the order of ends.
  std::vector<EntryOutcome> entry_outcomes;
  //! In the order of time; empty in a run without accounts.
  std::vector<AccountVersion> account_versions;
  AccountSettings account_settings;
  //! End of the recovery period that follows the last fault.
  TimePoint calm_since = TimePoint::max();
};

}  // namespace jacinthdeck::soak

#endif  // SOAK_HISTORY_H_
