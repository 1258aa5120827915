// Exponential backoff with full jitter for operations that are retried.
#ifndef JACINTHDECK_CORE_BACKOFF_H_
#define JACINTHDECK_CORE_BACKOFF_H_

#include <algorithm>

#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/**
 * \brief Delays between retries: the window doubles with each consecutive
 * failure up to a limit, and each delay is drawn uniformly from the window.
 *
 * Without jitter, all hosts that lose the store at the same moment would also
 * retry at the same moment and overload it again. A uniform draw from the whole
 * window spreads their retries over it.
 */
class Backoff {
 public:
  /**
   * \brief Creates a backoff without failures.
   * \param first Upper bound of the delay after the first failure.
   * \param limit Upper bound of any delay.
   */
  Backoff(Duration first, Duration limit) noexcept
      : m_first(first), m_limit(limit), m_window(first) {}

  /**
   * \brief Counts a failure and doubles the window for the next one.
   * \param random Source of the jitter.
   * \return Time to wait before the next try, at least 1 ms.
   */
  [[nodiscard]] Duration OnFailure(Random& random) {
    const auto window = static_cast<std::uint64_t>(m_window.count());
    m_window = std::min(m_limit, m_window * 2);
    return std::max<Duration>(
        std::chrono::milliseconds(1),
        Duration(static_cast<Duration::rep>(random.Below(window))));
  }

  /*! \brief Resets the window to its initial length. */
  void OnSuccess() noexcept { m_window = m_first; }

 private:
  Duration m_first;
  Duration m_limit;
  //! Upper bound of the next delay; starts at m_first, at most m_limit.
  Duration m_window;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_BACKOFF_H_
