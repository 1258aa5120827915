// Running average of the time between call starts from a queue.
#ifndef JACINTHDECK_QUERY_START_INTERVAL_H_
#define JACINTHDECK_QUERY_START_INTERVAL_H_

#include <optional>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Averages the time between consecutive starts while a queue stays
 * non-empty. */
class StartInterval {
 public:
  /*! \brief Returns the average; zero before the second start. */
  [[nodiscard]] Duration value() const noexcept {
    return Duration(static_cast<Duration::rep>(m_value));
  }

  /**
   * \brief Records the start of a call from the queue.
   * \param now Present time.
   * \param backlog Whether more calls remain in the queue.
   */
  void OnStart(TimePoint now, bool backlog) noexcept {
    if (m_last) {
      const auto gap = static_cast<double>((now - *m_last).count());
      m_value += kWeight * (gap - m_value);
    }
    m_last = backlog ? std::optional(now) : std::nullopt;
  }

 private:
  static constexpr double kWeight = 0.05;

  double m_value = 0;
  //! Time of the last start; empty once the queue has run empty.
  std::optional<TimePoint> m_last;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_START_INTERVAL_H_
