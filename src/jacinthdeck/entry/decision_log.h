// Writes log lines about ended calls and about changes in discovery.
#ifndef JACINTHDECK_ENTRY_DECISION_LOG_H_
#define JACINTHDECK_ENTRY_DECISION_LOG_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "jacinthdeck/core/link_bytes.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/knowledge.h"
#include "jacinthdeck/discovery/store_session.h"
#include "jacinthdeck/entry/event_log.h"
#include "jacinthdeck/forward/call_trace.h"
#include "jacinthdeck/forward/crash_guard.h"
#include "jacinthdeck/forward/forward_answer.h"
#include "jacinthdeck/forward/forward_counters.h"
#include "jacinthdeck/forward/lost_attempt.h"

namespace jacinthdeck {

/*! \brief Calls and bytes of a host since its start, by their purpose. */
struct HostTraffic {
  StoreCounters store;
  //! Bytes of the discovery feed received from other hosts.
  LinkBytes feed;
  //! Bytes sent to and received from targets.
  LinkBytes targets;
  //! Responses of targets that exceeded a limit.
  std::uint64_t oversized_responses = 0;
  ForwardCounters calls;
};

/*! \brief An ended call: its answer, its trace and its timing. */
struct EndedCall {
  const std::string& request_id;
  const ForwardAnswer& answer;
  const CallTrace& trace;
  Duration took;
  //! Age of the discovery state that the call was routed by: the time since the
  //! last message from the store.
  Duration discovery_age;
  std::size_t open_calls = 0;
};

/**
 * \brief Decides which calls are logged, and writes their lines.
 *
 * Every refused, failed, partial or slow call is logged with its trace. Of the
 * other calls, one in a fixed number is logged. The sample is taken by count
 * and not at random, so that equal runs write equal logs.
 */
class DecisionLog {
 public:
  /*! \brief Makes a decision log that logs one in \p sample of the calls that
   * end as LogEvent::kCallDone; the event log must outlive it. */
  DecisionLog(EventLog& log, std::uint32_t sample)
      : m_log(log), m_sample(sample) {}

  /*! \brief Logs the end of a call, unless the sample leaves it out. */
  void OnCallEnd(const EndedCall& call);

  /*! \brief Logs that a caller left \p after its request arrived, before it
   * got an answer. */
  void OnAbandoned(const std::string& request_id, Duration after);

  /*! \brief Logs that the process ends \p after a request arrived, before its
   * caller got an answer. */
  void OnCut(const std::string& request_id, Duration after);

  /*! \brief Logs an attempt whose connection ended after its call had; others
   * stand in the line of their call. */
  void OnAttemptLost(const LostAttempt& lost);

  /*! \brief Logs that a target refuses connections, or does no longer. */
  void OnReachabilityChange(const TargetEntry& target, bool reachable);

  /*! \brief Logs that a request became suspect or was quarantined, with the
   * target that ended under it. */
  void OnCrash(LogEvent event, const CrashEvidence& evidence);

  /*! \brief Logs the answer that cleared a suspect request. */
  void OnSuspectCleared(const ClearingAnswer& answer);

  /*! \brief Logs the end of a target that is no evidence against a request. */
  void OnCrashIgnored(const IgnoredCrash& crash);

  /*! \brief Logs what changed in the discovery state, one line for each kind of
   * change. */
  void OnDiscoveryChange(const DiscoveryChange& change,
                         const DiscoveryState& discovery_state,
                         const StorePosition& position,
                         Duration since_start,
                         TimePoint now);

  /*! \brief Logs the calls and bytes since the start of the host. */
  void OnTraffic(const HostTraffic& traffic);

  /*! \brief Logs that the set of fronts changed: the hosts that callers are
   * sent to.
   * \param target_domains Failure domains that hold targets of the shards. */
  void OnFronts(const std::vector<HostRecord>& fronts,
                const std::set<FailureDomain>& target_domains);

 private:
  [[nodiscard]] LogEvent EventOf(const EndedCall& call) const;
  [[nodiscard]] bool ShouldLog(LogEvent event);

  EventLog& m_log;
  const std::uint32_t m_sample;
  std::uint32_t m_done_calls = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_DECISION_LOG_H_
