// Events of a run in the order of their time, then of their making.
#ifndef JACINTHDECK_BENCH_SUPPORT_EVENT_QUEUE_H_
#define JACINTHDECK_BENCH_SUPPORT_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck::bench {

/*! \brief What happens. */
enum class EventKind {
  kCall,
  kTimer,
  kArrive,
  kDone,
  kCancel,
  //! A reply is at its host, whose processor may be busy.
  kAtHost,
  kReply,
};

/*! \brief Something that happens at a moment. */
struct Event {
  TimePoint at;
  std::uint64_t order = 0;
  EventKind kind = EventKind::kCall;
  //! Entry for a timer, attempt for the others.
  std::uint64_t subject = 0;

  [[nodiscard]] bool operator>(const Event& other) const {
    return at != other.at ? at > other.at : order > other.order;
  }
};

/*! \brief Events that are still to come. */
class EventQueue {
 public:
  [[nodiscard]] bool empty() const { return m_events.empty(); }

  void Push(TimePoint at, EventKind kind, std::uint64_t subject) {
    m_events.push(Event{at, m_order++, kind, subject});
  }

  /*! \brief Takes the next event; the queue is not empty. */
  [[nodiscard]] Event Pop() {
    const Event next = m_events.top();
    m_events.pop();
    return next;
  }

 private:
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::uint64_t m_order = 0;
};

}  // namespace jacinthdeck::bench

#endif  // JACINTHDECK_BENCH_SUPPORT_EVENT_QUEUE_H_
