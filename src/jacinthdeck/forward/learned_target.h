// Load, latency and failures of one target as observed by this host.
#ifndef JACINTHDECK_FORWARD_LEARNED_TARGET_H_
#define JACINTHDECK_FORWARD_LEARNED_TARGET_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/load_report.h"
#include "jacinthdeck/forward/target_entry.h"
#include "jacinthdeck/forward/usual_latency.h"
#include "jacinthdeck/routing/decaying_average.h"

namespace jacinthdeck {

/**
 * \brief Tracks load, latency and failures of a target from this host's own
 * attempts.
 *
 * Health checks are not used: they lag, can be wrong, and occupy a slot of the
 * target. What counts is how attempts at the target end.
 */
class TrackedTarget {
 public:
  explicit TrackedTarget(TargetEntry entry, TimePoint now);

  [[nodiscard]] const TargetEntry& entry() const noexcept { return m_entry; }
  [[nodiscard]] bool is_removed() const noexcept { return m_removed; }
  [[nodiscard]] std::size_t in_flight() const noexcept {
    return m_in_flight.size();
  }
  /*! \brief When this host learned of the target. */
  [[nodiscard]] TimePoint known_since() const noexcept { return m_known_since; }
  /*! \brief When the last attempt was sent to the target. */
  [[nodiscard]] TimePoint last_sent() const noexcept { return m_last_sent; }
  /*! \brief Number of attempts in flight whose calls cannot be answered without
   * them. */
  [[nodiscard]] std::size_t required_in_flight() const noexcept;

  /*! \brief Returns whether the target may get new requests. */
  [[nodiscard]] bool AcceptsRequests() const noexcept {
    return !m_removed && !m_unreachable && m_entry.AcceptsRequests();
  }

  /*! \brief Returns whether the target refused the last connection that was
   * tried. */
  [[nodiscard]] bool is_unreachable() const noexcept { return m_unreachable; }

  /*! \brief Returns whether the target has not answered for longer than its
   * work explains, or has recently left attempts unanswered. */
  [[nodiscard]] bool IsUnresponsive(TimePoint now) const noexcept;

  /*! \brief Mean latency of the routes whose requests the target answers. Zero
   * until it has answered a request of a route with a measured latency. */
  [[nodiscard]] Duration mean_served_latency() const noexcept {
    return Duration(static_cast<Duration::rep>(m_served_latency.value()));
  }

  /**
   * \brief Estimates how long a request sent now would take.
   *
   * The work of the request is estimated by the latency of its route, and each
   * request queued before it by the mean latency of what the target answers, if
   * that is lower. With the latency of its route for both, a queue of short
   * requests would look long to a route without measurements: its calls would
   * be refused, and a route whose calls are refused is never measured. If the
   * queued work is longer, the latency of the route stands for it, because mean
   * latencies already include waiting, and short calls would be refused because
   * of it.
   * \param route_latency Latency of the route; an assumed one counts for no
   * more than the mean latency of what the target answers.
   * \param now Current time.
   */
  [[nodiscard]] Duration ExpectedDelay(const LatencyEstimate& route_latency,
                                       TimePoint now) const;

  /*! \brief Estimates the number of requests at the target from all callers,
   * divided by its slots. */
  [[nodiscard]] double Occupancy(TimePoint now) const noexcept;

  /*! \brief Share of recent attempts that failed; it decays over time. */
  [[nodiscard]] double FailureRate(TimePoint now) const noexcept;

  /*! \brief Sets a newer registry entry; if the target restarted, what was
   * learned so far is discarded. */
  void SetEntry(const TargetEntry& entry, TimePoint now);

  /*! \brief Marks the target as removed from the registry. */
  void MarkRemoved() noexcept { m_removed = true; }

  /*! \brief Records whether the target refuses connections. */
  void SetUnreachable(bool unreachable) noexcept {
    m_unreachable = unreachable;
  }

  /**
   * \brief Records an attempt that is being sent.
   * \param silence_timeout Time after which silence is not explained by the
   * work of the attempt.
   * \param required Whether the call cannot be answered without this attempt.
   */
  void OnSend(AttemptId attempt,
              Duration silence_timeout,
              bool required,
              TimePoint now);

  /**
   * \brief Records an answer.
   * \param latency Time from sending to the answer.
   * \param route_latency Latency of the route.
   */
  void OnAnswer(AttemptId attempt,
                Duration latency,
                const LatencyEstimate& route_latency,
                TimePoint now);

  /*! \brief Records a failure that shows that the target is alive. */
  void OnFailure(AttemptId attempt, TimePoint now);

  /*! \brief Records that the target refused to execute a request. */
  void OnShed(AttemptId attempt, TimePoint now);

  /*! \brief Records an attempt that ended with a lost or refused connection. */
  void OnLost(AttemptId attempt, TimePoint now);

  /*! \brief Removes a cancelled attempt; if it exceeded its silence timeout, it
   * counts against the target. */
  void OnCancel(AttemptId attempt, TimePoint now);

  /*! \brief Records a load report. */
  void OnLoad(const LoadReport& report, TimePoint now);

 private:
  struct InFlight {
    AttemptId id;
    TimePoint sent;
    Duration silence_timeout;
    bool required = true;
  };

  //! Removes an attempt from the list; returns nothing if it is not in it.
  std::optional<InFlight> RemoveInFlight(AttemptId attempt);
  [[nodiscard]] bool IsSilent(TimePoint now) const noexcept;
  void MarkResponsive(TimePoint now) noexcept;
  void AddFailure(double weight, TimePoint now);
  void MarkUnresponsive(TimePoint now);

  TargetEntry m_entry;
  TimePoint m_known_since;
  bool m_removed = false;
  bool m_unreachable = false;
  //! Attempts in flight, oldest first.
  std::vector<InFlight> m_in_flight;
  TimePoint m_last_sent;
  //! When the target last replied.
  TimePoint m_last_reply;
  //! Latency of answers relative to the mean of their routes.
  DecayingAverage m_slowness;
  //! Mean latency of the route of each answer in microseconds; only routes with
  //! a measured latency count.
  DecayingAverage m_served_latency;
  //! Failure rate at m_failed_at; it decays from then on.
  double m_failure_rate = 0;
  TimePoint m_failed_at;
  std::uint32_t m_consecutive_unanswered = 0;
  TimePoint m_unresponsive_until;
  LoadReport m_load;
  TimePoint m_load_at;
  //! Attempts of this host that the load report includes.
  std::size_t m_own_in_report = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_LEARNED_TARGET_H_
