// What this host has learned of one target.
#ifndef JACINTHDECK_FORWARD_TRACKED_TARGET_H_
#define JACINTHDECK_FORWARD_TRACKED_TARGET_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/latency_estimate.h"
#include "jacinthdeck/forward/load_report.h"
#include "jacinthdeck/forward/target_entry.h"
#include "jacinthdeck/routing/decaying_average.h"

namespace jacinthdeck {

/**
 * \brief Load, speed and trouble of a target, from own attempts only.
 *
 * Health checks are not asked: they lag, lie, and take a slot. What counts is
 * how the target's own work ends.
 */
class TrackedTarget {
 public:
  explicit TrackedTarget(TargetEntry entry, TimePoint now);

  [[nodiscard]] const TargetEntry& entry() const noexcept { return m_entry; }
  [[nodiscard]] bool gone() const noexcept { return m_gone; }
  [[nodiscard]] std::size_t in_flight() const noexcept {
    return m_in_flight.size();
  }
  /*! \brief When an attempt was sent to it last. */
  [[nodiscard]] TimePoint last_sent() const noexcept { return m_last_sent; }
  /*! \brief Those whose calls cannot do without them. */
  [[nodiscard]] std::size_t required_in_flight() const noexcept;

  /*! \brief Tells whether it may get new work at all. */
  [[nodiscard]] bool TakesWork() const noexcept {
    return !m_gone && m_entry.TakesWork();
  }

  /*! \brief Tells whether it has answered nothing for longer than its work
   * explains, or has lately left attempts unanswered. */
  [[nodiscard]] bool IsUnresponsive(TimePoint now) const noexcept;

  /*! \brief Usual latency of the requests that it answers, of whichever
   * route; zero while none of a measured route was answered. */
  [[nodiscard]] Duration mean_served_latency() const noexcept {
    return Duration(static_cast<Duration::rep>(m_served_latency.value()));
  }

  /**
   * \brief Estimates how long a request sent now would take.
   *
   * Its own work is reckoned in its route's latency, the queue before it in
   * what the target usually answers, if that is less. Reckoned in its own, a
   * queue of short searches would look long to a route of which nothing was
   * measured; its calls would be refused, and a route that is refused is never
   * measured. Where the queue's work is the longer, the route's own stands for
   * it: usual latencies have a wait in them already, and short calls would be
   * refused for it.
   * \param route_latency Latency of its route; a guess counts for no more than
   * what the target usually takes. \param now Present time.
   */
  [[nodiscard]] Duration ExpectedDelay(const LatencyEstimate& route_latency,
                                       TimePoint now) const;

  /*! \brief Estimates the requests at it from all callers, over its slots. */
  [[nodiscard]] double Occupancy(TimePoint now) const noexcept;

  /*! \brief Share of its recent attempts that failed, faded by time. */
  [[nodiscard]] double FailureRate(TimePoint now) const noexcept;

  /*! \brief Takes a newer entry; a later life forgets what was learned. */
  void SetEntry(const TargetEntry& entry, TimePoint now);

  /*! \brief Marks it as gone from the registry. */
  void SetGone() noexcept { m_gone = true; }

  /**
   * \brief Counts an attempt that is being sent.
   * \param silence_timeout Time after which silence is not explained by its
   * work. \param required Its call cannot be answered without it.
   */
  void OnSend(AttemptId attempt,
              Duration silence_timeout,
              bool required,
              TimePoint now);

  /**
   * \brief Takes an answer.
   * \param latency From sending to the answer.
   * \param route_latency Latency of the route.
   */
  void OnAnswer(AttemptId attempt,
                Duration latency,
                const LatencyEstimate& route_latency,
                TimePoint now);

  /*! \brief Takes a failure that proves that it is alive. */
  void OnFailure(AttemptId attempt, TimePoint now);

  /*! \brief Takes a refusal to run a request. */
  void OnShed(AttemptId attempt, TimePoint now);

  /*! \brief Takes the end of an attempt by a lost or refused connection. */
  void OnLost(AttemptId attempt, TimePoint now);

  /*! \brief Forgets an attempt that was cancelled; one that was late counts
   * against it. */
  void OnCancel(AttemptId attempt, TimePoint now);

  /*! \brief Takes a reported load. */
  void OnLoad(const LoadReport& report, TimePoint now);

 private:
  struct InFlight {
    AttemptId id;
    TimePoint sent;
    Duration silence_timeout;
    bool required = true;
  };

  //! Takes an attempt off the list; nothing if it is not there.
  std::optional<InFlight> RemoveInFlight(AttemptId attempt);
  [[nodiscard]] bool IsSilent(TimePoint now) const noexcept;
  void MarkResponsive(TimePoint now) noexcept;
  void AddFailure(double weight, TimePoint now);
  void MarkUnresponsive(TimePoint now);

  TargetEntry m_entry;
  bool m_gone = false;
  //! Oldest first.
  std::vector<InFlight> m_in_flight;
  TimePoint m_last_sent;
  //! Last sign of life.
  TimePoint m_last_reply;
  //! Latency over the mean of its route.
  DecayingAverage m_slowness;
  //! Mean of the route of each answer, in microseconds; measured ones alone.
  DecayingAverage m_served_latency;
  //! Failures less their fading, as of m_failed_at.
  double m_failure_rate = 0;
  TimePoint m_failed_at;
  std::uint32_t m_unanswered_in_row = 0;
  TimePoint m_unresponsive_until;
  LoadReport m_load;
  TimePoint m_load_at;
  //! Own attempts that the report counts too.
  std::size_t m_own_in_report = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_TRACKED_TARGET_H_
