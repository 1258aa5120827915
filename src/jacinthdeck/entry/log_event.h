// The events that can be logged.
#ifndef JACINTHDECK_ENTRY_LOG_EVENT_H_
#define JACINTHDECK_ENTRY_LOG_EVENT_H_

#include "jacinthdeck/core/name_table.h"

namespace jacinthdeck {

/*! \brief Event that a log line reports; docs/operate/logs.md explains the
 * fields of each event. */
enum class LogEvent {
  kStarted,
  kStopping,
  kStopped,
  kCrashed,
  kReloaded,
  kReloadRejected,
  kReadiness,
  kStoreRead,
  kStoreRestored,
  kStoreLost,
  kStoreRegained,
  kFeedOpened,
  kFeedEnded,
  kRegistered,
  kRegistrationFailed,
  kRecordWriter,
  kConfigApplied,
  kTargetsChanged,
  kEvacuationsChanged,
  kHostsChanged,
  kFrontsChanged,
  kSchemaApplied,
  kEntryUnreadable,
  kAttemptLost,
  kTargetUnreachable,
  kTargetReachable,
  kSuspected,
  kQuarantined,
  kSuspectCleared,
  kCrashIgnored,
  kCallRefused,
  kCallFailed,
  kCallPartial,
  kCallSlow,
  kCallDone,
  kCallAbandoned,
  kCallCut,
  kLinesDropped,
  kPaused,
  kTraffic,
  kRateLimited,
  kKeyRefused,
  kAllocatorChanged,
  kLimitsWithoutPeers,
};

//! Names of the events as written to the log, in the order of LogEvent;
//! kQuarantined is written as "convicted".
inline constexpr NameTable<LogEvent, 44> kLogEventNames{
    {"started",
     "stopping",
     "stopped",
     "crashed",
     "reloaded",
     "reload_rejected",
     "readiness",
     "store_read",
     "store_restored",
     "store_lost",
     "store_regained",
     "feed_opened",
     "feed_ended",
     "registered",
     "registration_failed",
     "record_writer",
     "config_applied",
     "targets_changed",
     "evacuations_changed",
     "hosts_changed",
     "fronts_changed",
     "schema_applied",
     "entry_unreadable",
     "attempt_lost",
     "target_unreachable",
     "target_reachable",
     "suspected",
     "convicted",
     "suspect_cleared",
     "crash_ignored",
     "call_refused",
     "call_failed",
     "call_partial",
     "call_slow",
     "call_done",
     "call_abandoned",
     "call_cut",
     "lines_dropped",
     "paused",
     "traffic",
     "rate_limited",
     "key_refused",
     "allocator_changed",
     "limits_without_peers"}};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_LOG_EVENT_H_
