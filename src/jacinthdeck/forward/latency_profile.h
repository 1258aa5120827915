// What answers of a route take, and when an attempt is late.
#ifndef JACINTHDECK_FORWARD_LATENCY_PROFILE_H_
#define JACINTHDECK_FORWARD_LATENCY_PROFILE_H_

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/latency_estimate.h"
#include "jacinthdeck/routing/decaying_average.h"
#include "jacinthdeck/routing/latency_histogram.h"

namespace jacinthdeck {

/**
 * \brief Latencies of single attempts on one route, over all its targets.
 *
 * Routes are kept apart since they ask for different work at the same targets.
 */
class LatencyProfile {
 public:
  /*! \brief Starts from a guess: a fixed part of the route's objective. */
  explicit LatencyProfile(Duration objective);

  /*! \brief Average latency of an answer; never zero. */
  [[nodiscard]] Duration mean() const noexcept { return m_mean; }

  /*! \brief The mean, and whether it is more than a guess. */
  [[nodiscard]] LatencyEstimate route_latency() const noexcept;

  /*! \brief Time below which an attempt is not worth its work; zero while the
   * mean is a guess, which must not end a call. */
  [[nodiscard]] Duration min_useful_time() const noexcept;

  /*! \brief Tells whether the mean was measured, and lately. */
  [[nodiscard]] bool IsFresh(TimePoint now) const noexcept;

  /*! \brief Time after which a second attempt is worth its load. */
  [[nodiscard]] Duration hedge_delay() const noexcept { return m_hedge_delay; }

  /*! \brief Time after which a target that answered nothing is held silent. */
  [[nodiscard]] Duration silence_timeout() const noexcept {
    return m_silence_timeout;
  }

  /*! \brief Takes the latency of an answer. */
  void Add(Duration latency, TimePoint now);

 private:
  void UpdateDelays();

  //! Zero if the route names none.
  Duration m_objective;
  LatencyHistogram m_histogram;
  DecayingAverage m_average;
  Duration m_mean{};
  Duration m_hedge_delay{};
  Duration m_silence_timeout{};
  //! Moment of the last answer.
  TimePoint m_last_answer;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_LATENCY_PROFILE_H_
