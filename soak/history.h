// What callers and targets saw of one run, on the clock of the machine.
#ifndef SOAK_HISTORY_H_
#define SOAK_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "jacinthdeck/core/time.h"
#include "soak/record.h"

namespace jacinthdeck::soak {

/*! \brief What may be done with a request. */
enum class CallKind {
  //! May run once at most.
  kClaim,
  //! May be repeated.
  kLookup,
  //! Asks all shards; may be repeated.
  kQuery,
};

/*! \brief How a call ended for its caller. */
enum class CallEnd { kAnswered, kClosed, kTimedOut, kNotSent };

/*! \brief One attempt of a caller, with an id of its own. */
struct Call {
  std::string id;
  CallKind kind = CallKind::kLookup;
  //! Life of an entry: a restarted entry has another one.
  std::size_t entry = 0;
  TimePoint sent;
  TimePoint ended;
  CallEnd end = CallEnd::kAnswered;
  //! 0 without an answer.
  int status = 0;
  //! Of a success.
  std::vector<Record> records;
};

/*! \brief A target began to work on a request. */
struct Run {
  std::string request;
  std::string target;
  TimePoint at;
};

/*! \brief The store confirmed a configuration that names another layout. */
struct LayoutChange {
  std::uint32_t layout = 0;
  TimePoint confirmed;
};

/*! \brief The store confirmed that a target is leaving. */
struct Leaving {
  std::string target;
  TimePoint confirmed;
};

/*! \brief A target stands in a failure domain. */
struct Placement {
  std::string target;
  std::string domain;
};

/*! \brief The store confirmed that nothing may be sent into a domain. */
struct EvacuatedTime {
  std::string domain;
  TimePoint confirmed;
  //! When its end was asked for.
  TimePoint ended = TimePoint::max();
};

/*! \brief What an entry is excused from while it is harmed. */
enum class Harm {
  //! It may not hear of changes.
  kKnowledge,
  //! Its connections to callers may end.
  kConnections,
};

/*! \brief A time in which an entry, its links or its store were harmed. */
struct Trouble {
  std::size_t entry = 0;
  Harm harm = Harm::kKnowledge;
  TimePoint from;
  TimePoint to = TimePoint::max();
};

/*! \brief All of one run. */
struct History {
  std::vector<Call> calls;
  std::vector<Run> runs;
  std::vector<LayoutChange> layouts;
  std::vector<Leaving> leavings;
  std::vector<Placement> placements;
  std::vector<EvacuatedTime> evacuations;
  std::vector<Trouble> troubles;
  //! After the last fault and the time to recover from it.
  TimePoint calm_since = TimePoint::max();
};

}  // namespace jacinthdeck::soak

#endif  // SOAK_HISTORY_H_
