// How fast calls leave a backlog.
#ifndef JACINTHDECK_QUERY_START_INTERVAL_H_
#define JACINTHDECK_QUERY_START_INTERVAL_H_

#include <optional>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Average time between two starts from a queue that is not empty. */
class StartInterval {
 public:
  /*! \brief Gives the average; zero before the second start. */
  [[nodiscard]] Duration value() const noexcept {
    return Duration(static_cast<Duration::rep>(m_value));
  }

  /**
   * \brief Counts a start from the queue.
   * \param now Present time.
   * \param backlog More calls wait behind it.
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
  //! Last start, while the queue has not been empty since.
  std::optional<TimePoint> m_last;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_START_INTERVAL_H_
