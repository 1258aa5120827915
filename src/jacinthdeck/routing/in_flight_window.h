// Adaptive number of requests that this entry keeps at one target.
#ifndef JACINTHDECK_ROUTING_IN_FLIGHT_WINDOW_H_
#define JACINTHDECK_ROUTING_IN_FLIGHT_WINDOW_H_

#include <algorithm>
#include <cstdint>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/**
 * \brief Additive increase on answers, multiplicative decrease on refusals.
 *
 * Slots are fewer than entries, so no fixed share of them exists. Entries that
 * all fill their connections drive a target's queue to its end: each request
 * waits for the whole queue or is shed. The window falls at the first shed and
 * settles where the target keeps up.
 */
class InFlightWindow {
 public:
  /*! \brief Makes a window of a target's slots. */
  explicit InFlightWindow(std::uint32_t slots) noexcept
      : m_size(std::max<std::uint32_t>(slots, 1)) {}

  /*! \brief Requests that are always allowed; at least 1. */
  [[nodiscard]] std::uint32_t floor() const noexcept { return m_floor; }

  /**
   * \brief Gives the number of requests that may be in flight.
   * \param share This entry's share of the connections.
   * \return At least 1, so that an idle target can always be asked and a
   * waiting request is always woken by an end.
   */
  [[nodiscard]] std::uint32_t Size(std::uint32_t share) const noexcept {
    const auto size = static_cast<std::uint32_t>(m_size);
    return std::max<std::uint32_t>(1, std::min(size, share));
  }

  /**
   * \brief Keeps the window at or above this entry's share of the slots.
   *
   * Where few entries share a target, a smaller window leaves slots idle while
   * requests wait here, and the load that is left looks like an overload.
   * \param slots Slots of the target.
   * \param hosts Entries that share it, at least 1.
   */
  void SetFloor(std::uint32_t slots, std::uint32_t hosts) noexcept {
    // One more than the slots, for the request that is on its way.
    m_floor = std::max<std::uint32_t>(1, (slots + hosts) / hosts);
    m_size = std::max<double>(m_size, m_floor);
  }

  /**
   * \brief Counts an answer that came while the window was in use.
   * \param in_flight Requests in flight, the answered one included.
   * \param share This entry's share of the connections.
   */
  void OnAnswer(std::uint32_t in_flight, std::uint32_t share) noexcept {
    if (in_flight >= Size(share)) {
      m_size = std::min<double>(share, m_size + kIncreaseStep / m_size);
    }
  }

  /**
   * \brief Counts a refusal or a sign of a queue at the target.
   * \param now Present time; signs closer than kDecreaseInterval count once,
   * since they tell of one event.
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
  //! Slow, since a shed costs a caller a retry, while a place too few only
  //! makes a request wait here instead of in the target's queue.
  static constexpr double kIncreaseStep = 0.02;
  static constexpr Duration kDecreaseInterval = std::chrono::milliseconds(20);

  //! At least m_floor.
  double m_size;
  std::uint32_t m_floor = 1;
  //! Signs before this moment belong to the event that shrank it last.
  TimePoint m_next_decrease{};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_IN_FLIGHT_WINDOW_H_
