// Exponential backoff with full jitter, for whatever is asked again after a
// failure.
#ifndef JACINTHDECK_CORE_BACKOFF_H_
#define JACINTHDECK_CORE_BACKOFF_H_

#include <algorithm>

#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/**
 * \brief Delay before the next try after a run of failures.
 *
 * Full jitter: without it, nodes that lost the store at one moment would return
 * at one moment too and overload it again. A delay drawn evenly from the whole
 * window spreads them over it.
 */
class Backoff {
 public:
  /**
   * \brief Makes a backoff.
   * \param first Upper bound of the delay after the first failure.
   * \param limit Upper bound of any delay.
   */
  Backoff(Duration first, Duration limit) noexcept
      : m_first(first), m_limit(limit), m_window(first) {}

  /**
   * \brief Counts a failure.
   * \param random Source of the jitter.
   * \return Time to wait before the next try, at least a millisecond.
   */
  [[nodiscard]] Duration OnFailure(Random& random) {
    const auto window = static_cast<std::uint64_t>(m_window.count());
    m_window = std::min(m_limit, m_window * 2);
    return std::max<Duration>(
        std::chrono::milliseconds(1),
        Duration(static_cast<Duration::rep>(random.Below(window))));
  }

  /*! \brief Forgets the failures counted so far. */
  void OnSuccess() noexcept { m_window = m_first; }

 private:
  Duration m_first;
  Duration m_limit;
  //! Grows from m_first and never passes m_limit.
  Duration m_window;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_BACKOFF_H_
