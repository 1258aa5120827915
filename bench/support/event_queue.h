// Event queue of a discrete-event simulation, ordered by time and then by the
// order of insertion.
#ifndef JACINTHDECK_BENCH_SUPPORT_EVENT_QUEUE_H_
#define JACINTHDECK_BENCH_SUPPORT_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck::bench {

/*! \brief Kinds of simulated events. */
enum class EventKind {
  //! A caller submits the next call.
  kCall,
  //! A caller whose call was refused submits it again.
  kRetry,
  //! A timer of an entry or host is due.
  kTimer,
  //! A request arrives at its target.
  kArrive,
  //! A target finishes a request.
  kDone,
  //! A cancellation arrives at its target. In the forward model, which removes
  //! the request beforehand, the target only starts its next request.
  kCancel,
  //! A reply arrives at its host, whose processor may be busy.
  kReplyArrive,
  //! A host or an entry processes a reply.
  kReply,
};

/*! \brief An event at a point in simulated time. */
struct Event {
  TimePoint at;
  std::uint64_t sequence = 0;
  EventKind kind = EventKind::kCall;
  //! Number of the entry or host for a timer, and key of the attempt for most
  //! other kinds. The forward model has the class of the call for kCall, and
  //! the target for kCancel.
  std::uint64_t subject = 0;

  [[nodiscard]] bool operator>(const Event& other) const {
    return at != other.at ? at > other.at : sequence > other.sequence;
  }
};

/*! \brief Pending events, earliest first. */
class EventQueue {
 public:
  [[nodiscard]] bool empty() const { return m_events.empty(); }

  void Push(TimePoint at, EventKind kind, std::uint64_t subject) {
    m_events.push(Event{at, m_next_sequence++, kind, subject});
  }

  /*! \brief Removes and returns the next event; the queue must not be empty. */
  [[nodiscard]] Event Pop() {
    const Event next = m_events.top();
    m_events.pop();
    return next;
  }

 private:
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::uint64_t m_next_sequence = 0;
};

}  // namespace jacinthdeck::bench

#endif  // JACINTHDECK_BENCH_SUPPORT_EVENT_QUEUE_H_
