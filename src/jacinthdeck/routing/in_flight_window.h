// Adaptive limit on this host's requests in flight at one target.
#ifndef JACINTHDECK_ROUTING_IN_FLIGHT_WINDOW_H_
#define JACINTHDECK_ROUTING_IN_FLIGHT_WINDOW_H_

#include <algorithm>
#include <cstdint>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/**
 * \brief Congestion window with additive increase on answers and multiplicative
 * decrease on sheds.
 *
 * A target can have fewer slots than there are hosts, so slots cannot be
 * divided into fixed shares. If all hosts used all their connections, the
 * target's queue would fill up, and each request would wait for the whole queue
 * or be shed. The window shrinks at the first shed and converges to what the
 * target can handle.
 */
class InFlightWindow {
 public:
  /*! \brief Creates a window whose initial size is the target's slot count. */
  explicit InFlightWindow(std::uint32_t slots) noexcept
      : m_size(std::max<std::uint32_t>(slots, 1)) {}

  /*! \brief Returns the minimum size of the window; at least 1. */
  [[nodiscard]] std::uint32_t floor() const noexcept { return m_floor; }

  /**
   * \brief Returns the number of requests that may be in flight.
   * \param share This host's share of the target's connections.
   * \return At least 1. An idle target can therefore always get a request, and
   * a waiting request always has one in flight whose end wakes it.
   */
  [[nodiscard]] std::uint32_t Size(std::uint32_t share) const noexcept {
    const auto size = static_cast<std::uint32_t>(m_size);
    return std::max<std::uint32_t>(1, std::min(size, share));
  }

  /**
   * \brief Sets the minimum size to this host's share of the slots.
   *
   * If few hosts share a target, a smaller window would leave slots idle while
   * requests wait on this host, and the reduced load would look like an
   * overload.
   * \param slots Slots of the target.
   * \param hosts Number of hosts that share the target, at least 1.
   */
  void SetFloor(std::uint32_t slots, std::uint32_t hosts) noexcept {
    // One more than the slots, for a request in transit.
    m_floor = std::max<std::uint32_t>(1, (slots + hosts) / hosts);
    m_size = std::max<double>(m_size, m_floor);
  }

  /**
   * \brief Records an answer; the window grows only if it was fully used.
   * \param in_flight Requests in flight, including the answered one.
   * \param share This host's share of the target's connections.
   */
  void OnAnswer(std::uint32_t in_flight, std::uint32_t share) noexcept {
    if (in_flight >= Size(share)) {
      m_size = std::min<double>(share, m_size + kIncreaseStep / m_size);
    }
  }

  /**
   * \brief Shrinks the window after a shed or another sign of a queue at the
   * target.
   * \param now Current time; signals within kDecreaseInterval shrink the window
   * once, since they have the same cause.
   */
  void OnOverload(TimePoint now) noexcept {
    if (now < m_next_decrease) {
      return;
    }
    m_next_decrease = now + kDecreaseInterval;
    m_size = std::max<double>(m_floor, m_size * kDecreaseFactor);
  }

 private:
  static constexpr double kDecreaseFactor = 0.7;
  //! Growth is slow because a shed costs a caller a retry, while a window that
  //! is too small only makes a request wait on this host instead of in the
  //! target's queue.
  static constexpr double kIncreaseStep = 0.02;
  static constexpr Duration kDecreaseInterval = std::chrono::milliseconds(20);

  //! At least m_floor.
  double m_size;
  std::uint32_t m_floor = 1;
  //! Overload signals before this time belong to the last decrease.
  TimePoint m_next_decrease{};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_IN_FLIGHT_WINDOW_H_
