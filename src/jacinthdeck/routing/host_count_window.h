// Highest number of entries seen lately, by which the targets' limits are
// shared.
#ifndef JACINTHDECK_ROUTING_HOST_COUNT_WINDOW_H_
#define JACINTHDECK_ROUTING_HOST_COUNT_WINDOW_H_

#include <algorithm>
#include <cstdint>
#include <deque>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/**
 * \brief Maximum of the entry count over a window of time.
 *
 * An entry that fell silent may only be cut off from this one and still hold
 * its connections. Shares that grew at once would then sum up to more than the
 * target accepts, and it would refuse connections at random. A fall of the
 * count is believed only after the window.
 */
class HostCountWindow {
 public:
  /**
   * \brief Makes a window.
   * \param window How long a higher count is remembered.
   * \param expected Count that is never gone below; at least 1.
   */
  HostCountWindow(Duration window, std::uint32_t expected)
      : m_window(window), m_expected(std::max<std::uint32_t>(expected, 1)) {}

  /*! \brief Gives the highest count of the window that ends now. */
  [[nodiscard]] std::uint32_t Highest(TimePoint now) noexcept {
    // The newest count holds however old it is.
    while (m_counts.size() > 1 && m_counts.front().last_seen + m_window < now) {
      m_counts.pop_front();
    }
    return m_counts.empty() ? m_expected
                            : std::max(m_expected, m_counts.front().hosts);
  }

  /*! \brief Takes the present count. */
  void Add(std::uint32_t hosts, TimePoint now) {
    if (!m_counts.empty()) {
      m_counts.back().last_seen = now;
    }
    while (!m_counts.empty() && m_counts.back().hosts <= hosts) {
      m_counts.pop_back();
    }
    m_counts.push_back(Count{hosts, now});
  }

 private:
  struct Count {
    std::uint32_t hosts = 0;
    //! Last moment at which it held.
    TimePoint last_seen;
  };

  Duration m_window;
  std::uint32_t m_expected;
  //! Falling counts in the order of time; the front is the highest.
  std::deque<Count> m_counts;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_HOST_COUNT_WINDOW_H_
