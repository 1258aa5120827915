// Log lines of calls and of what the process believes.
#ifndef JACINTHDECK_ENTRY_DECISION_LOG_H_
#define JACINTHDECK_ENTRY_DECISION_LOG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jacinthdeck/core/link_bytes.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/knowledge.h"
#include "jacinthdeck/discovery/store_session.h"
#include "jacinthdeck/entry/event_log.h"
#include "jacinthdeck/forward/call_trace.h"
#include "jacinthdeck/forward/forward_answer.h"
#include "jacinthdeck/forward/forward_counters.h"

namespace jacinthdeck {

/*! \brief Calls and bytes of a host since its start, by purpose. */
struct HostTraffic {
  StoreCounters store;
  //! From the hosts that it learns from.
  LinkBytes feed;
  //! To and from targets.
  LinkBytes targets;
  ForwardCounters calls;
};

/*! \brief How a call ended, with what the edge knows of it. */
struct EndedCall {
  const std::string& request_id;
  const ForwardAnswer& answer;
  const CallTrace& story;
  Duration took;
  //! Age of the knowledge that decided it: since the store was last heard.
  Duration knowledge_age;
  std::size_t open_calls = 0;
};

/**
 * \brief Decides which calls get a line, and writes it.
 *
 * Refused, failed, partial and slow calls get their whole story, good ones one
 * in a fixed number. Which, is chosen by count and not at random, so that equal
 * runs give equal logs.
 */
class DecisionLog {
 public:
  DecisionLog(EventLog& log, std::uint32_t sample)
      : m_log(log), m_sample(sample) {}

  /*! \brief Writes the end of a call, if it is to be told. */
  void OnCallEnd(const EndedCall& call);

  /*! \brief Writes that a caller left. */
  void OnAbandoned(const std::string& request_id, Duration after);

  /*! \brief Writes what the store taught. */
  void OnDiscoveryChange(const DiscoveryChange& change,
                         const DiscoveryState& discovery_state,
                         const StorePosition& position,
                         Duration since_start,
                         TimePoint now);

  /*! \brief Writes what was sent and received since the start. */
  void OnTraffic(const HostTraffic& traffic);

  /*! \brief Writes that other hosts take the callers from now on. */
  void OnFronts(const std::vector<HostRecord>& fronts);

 private:
  [[nodiscard]] LogEvent EventOf(const EndedCall& call) const;
  [[nodiscard]] bool IsTold(LogEvent event);

  EventLog& m_log;
  const std::uint32_t m_sample;
  std::uint32_t m_good = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_DECISION_LOG_H_
