// Highest recent number of hosts, by which the limits of targets are divided.
#ifndef JACINTHDECK_ROUTING_HOST_COUNT_WINDOW_H_
#define JACINTHDECK_ROUTING_HOST_COUNT_WINDOW_H_

#include <algorithm>
#include <cstdint>
#include <deque>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/**
 * \brief Maximum of the host count over a sliding time window.
 *
 * A host that is no longer visible may only be partitioned from this one and
 * still hold its connections to the targets. If the shares grew immediately,
 * their sum could exceed a target's limit, and the target would refuse
 * connections at random. A lower count therefore takes effect only after the
 * window.
 */
class HostCountWindow {
 public:
  /**
   * \brief Makes a window.
   * \param window How long a higher count is remembered.
   * \param expected Minimum of the returned count; at least 1.
   */
  HostCountWindow(Duration window, std::uint32_t expected)
      : m_window(window), m_expected(std::max<std::uint32_t>(expected, 1)) {}

  /*! \brief Gives the highest count of the window that ends now. */
  [[nodiscard]] std::uint32_t Highest(TimePoint now) noexcept {
    // The latest count stays in effect regardless of its age.
    while (m_counts.size() > 1 && m_counts.front().until + m_window < now) {
      m_counts.pop_front();
    }
    return m_counts.empty() ? m_expected
                            : std::max(m_expected, m_counts.front().hosts);
  }

  /*! \brief Adds the current count. */
  void Add(std::uint32_t hosts, TimePoint now) {
    if (!m_counts.empty()) {
      m_counts.back().until = now;
    }
    while (!m_counts.empty() && m_counts.back().hosts <= hosts) {
      m_counts.pop_back();
    }
    m_counts.push_back(Count{hosts, now});
  }

 private:
  struct Count {
    std::uint32_t hosts = 0;
    //! Last time at which this was the count.
    TimePoint until;
  };

  Duration m_window;
  std::uint32_t m_expected;
  //! Decreasing counts in chronological order; the front is the highest.
  std::deque<Count> m_counts;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_HOST_COUNT_WINDOW_H_
