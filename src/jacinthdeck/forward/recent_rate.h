// Rate of recent events.
#ifndef JACINTHDECK_FORWARD_RECENT_RATE_H_
#define JACINTHDECK_FORWARD_RECENT_RATE_H_

#include <chrono>
#include <cmath>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Exponentially decaying rate of events. It falls while none occur,
 * unlike an average of the gaps between them. */
class RecentRate {
 public:
  /*! \brief Creates a rate without events.
   * \param decay Time after which an event counts for a third; above zero. */
  explicit RecentRate(Duration decay) noexcept : m_decay(Seconds(decay)) {}

  /*! \brief Counts an event. */
  void Add(TimePoint now) noexcept {
    m_events = EventsAt(now) + 1;
    m_updated = now;
  }

  /*! \brief Returns the events per second. */
  [[nodiscard]] double PerSecond(TimePoint now) const noexcept {
    return EventsAt(now) / m_decay;
  }

 private:
  [[nodiscard]] static double Seconds(Duration duration) noexcept {
    return std::chrono::duration<double>(duration).count();
  }
  [[nodiscard]] double EventsAt(TimePoint now) const noexcept {
    return m_events == 0
               ? 0
               : m_events * std::exp(-Seconds(now - m_updated) / m_decay);
  }

  double m_decay;
  //! Decayed number of events at m_updated.
  double m_events = 0;
  TimePoint m_updated;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_RECENT_RATE_H_
