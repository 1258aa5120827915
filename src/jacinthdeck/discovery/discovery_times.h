// Timeouts of the store watch and of the feeds between hosts, derived from the
// time within which a change must be applied.
#ifndef JACINTHDECK_DISCOVERY_DISCOVERY_TIMES_H_
#define JACINTHDECK_DISCOVERY_DISCOVERY_TIMES_H_

#include <algorithm>
#include <chrono>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Timeouts that bound the delay of a change: MaxDelay() is within the
 * bound that they are made for, and so are a lost watch and a new one. */
struct DiscoveryTimes {
  //! Delay of a change that holds unless the settings state another one.
  static constexpr Duration kDefaultBound = std::chrono::seconds(3);
  //! Time for the periodic checks that detect stale content and start the
  //! watch, and for the first answer of the store.
  static constexpr Duration kDetectionReserve = std::chrono::milliseconds(600);
  //! Time after the end of its wait at which a watch is considered lost.
  static constexpr Duration kWatchMargin = std::chrono::milliseconds(900);

  //! How long a watch waits for a change; each watch costs a call.
  Duration watch_wait{};
  //! Content that the store confirmed longer ago is stale.
  Duration max_content_age{};
  //! Spreads the store reads of the hosts whose feeders are stale.
  Duration max_read_jitter{};

  [[nodiscard]] constexpr Duration watch_timeout() const noexcept {
    return watch_wait + kWatchMargin;
  }

  /*! \brief Returns the largest delay of a change on a host that callers are
   * sent to and that the store serves, whether or not it serves the feeders. */
  [[nodiscard]] constexpr Duration MaxDelay() const noexcept {
    return max_content_age + max_read_jitter + kDetectionReserve;
  }

  /*! \brief Returns the timeouts with the fewest calls for a bound; a bound
   * below 2 s is not met, because a slow store needs the margin. */
  [[nodiscard]] static constexpr DiscoveryTimes ForBound(Duration bound) {
    using std::chrono::milliseconds;
    constexpr Duration kMinWait = milliseconds(300);
    constexpr Duration kMaxWait = milliseconds(1500);
    constexpr Duration kMinJitter = milliseconds(200);
    constexpr Duration kMaxJitter = milliseconds(1200);
    DiscoveryTimes times;
    const Duration longest_wait =
        bound - kWatchMargin - kMinJitter - kDetectionReserve;
    times.watch_wait = std::clamp<Duration>(std::min(bound / 3, longest_wait),
                                            kMinWait, kMaxWait);
    times.max_content_age = times.watch_timeout();
    times.max_read_jitter =
        std::clamp<Duration>(bound - times.max_content_age - kDetectionReserve,
                             kMinJitter, kMaxJitter);
    return times;
  }
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_DISCOVERY_TIMES_H_
