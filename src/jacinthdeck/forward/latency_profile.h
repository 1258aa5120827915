// Latency of the answers of a route, and the delays derived from it.
#ifndef JACINTHDECK_FORWARD_LATENCY_PROFILE_H_
#define JACINTHDECK_FORWARD_LATENCY_PROFILE_H_

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/usual_latency.h"
#include "jacinthdeck/routing/decaying_average.h"
#include "jacinthdeck/routing/latency_histogram.h"

namespace jacinthdeck {

/**
 * \brief Latencies of single attempts on one route, over all its targets.
 *
 * Each route has its own profile because routes request different work from the
 * same targets.
 */
class LatencyProfile {
 public:
  /*! \brief Creates a profile whose mean is assumed to be a fixed part of the
   * objective of the route. */
  explicit LatencyProfile(Duration objective);

  /*! \brief Mean latency of an answer; never zero. */
  [[nodiscard]] Duration mean() const noexcept { return m_mean; }

  /*! \brief Mean latency of an answer, with 0 samples while the mean is
   * assumed. */
  [[nodiscard]] LatencyEstimate route_latency() const noexcept;

  /*! \brief Remaining time below which an attempt is not worth its work. Zero
   * while the mean is assumed, because an assumption must not end a call. */
  [[nodiscard]] Duration min_useful_time() const noexcept;

  /*! \brief Returns whether the mean was measured and an answer arrived
   * recently. */
  [[nodiscard]] bool IsFresh(TimePoint now) const noexcept;

  /*! \brief Time without an answer after which a second attempt is worth its
   * load. */
  [[nodiscard]] Duration hedge_delay() const noexcept { return m_hedge_delay; }

  /*! \brief Time within which nearly all calls are answered, with a hedge if
   * need be; the objective while the mean is assumed. */
  [[nodiscard]] Duration slow_answer_time() const noexcept {
    return m_slow_answer_time;
  }

  /*! \brief Time after which a target that has not answered counts as silent.
   */
  [[nodiscard]] Duration silence_timeout() const noexcept {
    return m_silence_timeout;
  }

  /*! \brief Adds the latency of an answer. */
  void Add(Duration latency, TimePoint now);

 private:
  void UpdateDelays();

  //! Objective of the route, or an assumed one if the route has none.
  Duration m_objective;
  LatencyHistogram m_histogram;
  DecayingAverage m_average;
  Duration m_mean{};
  Duration m_hedge_delay{};
  Duration m_silence_timeout{};
  Duration m_slow_answer_time{};
  //! When the last answer arrived.
  TimePoint m_last_answer;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_LATENCY_PROFILE_H_
