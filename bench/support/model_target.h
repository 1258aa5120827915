// A target of the forward model: slots, a FIFO queue, pauses and faults.
#ifndef JACINTHDECK_BENCH_SUPPORT_MODEL_TARGET_H_
#define JACINTHDECK_BENCH_SUPPORT_MODEL_TARGET_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "jacinthdeck/core/random.h"
#include "jacinthdeck/forward/load_report.h"
#include "support/forward_case.h"

namespace jacinthdeck::bench {

/*! \brief What a target does with a request on arrival. */
enum class ArrivalOutcome { kAccepted, kRefused, kNotConnected, kIgnored };

/*! \brief A simulated target. It has no clock; the time is passed in. */
class ModelTarget {
 public:
  struct StartedRequest {
    std::uint64_t attempt = 0;
    TimePoint done;
  };

  ModelTarget(const ForwardCase& load,
              std::vector<TargetFaultPeriod> faults,
              TimePoint start,
              std::uint64_t seed);

  /**
   * \brief Queues an arriving request, unless it is refused or ignored.
   * \param service_time Mean service time of such requests.
   */
  [[nodiscard]] ArrivalOutcome Arrive(std::uint64_t attempt,
                                      Duration service_time,
                                      TimePoint now);

  /*! \brief Removes a queued or running request. */
  void Drop(std::uint64_t attempt);

  /*! \brief Starts queued requests while slots are free; returns them with the
   * times at which they finish. */
  [[nodiscard]] std::vector<StartedRequest> StartWork(TimePoint now);

  /*! \brief Returns when the current pause ends; empty if the target is not
   * paused. */
  [[nodiscard]] std::optional<TimePoint> PausedUntil(TimePoint now) const;

  /*! \brief Returns the load that the target reports in its responses. */
  [[nodiscard]] LoadReport Load() const;

  /*! \brief Returns whether the target answers, that is, is neither down nor
   * unresponsive. */
  [[nodiscard]] bool IsAlive(TimePoint now) const;

 private:
  struct QueuedRequest {
    std::uint64_t attempt = 0;
    Duration service_time{};
  };

  [[nodiscard]] const TargetFaultPeriod* FaultAt(TimePoint now) const;

  const ForwardCase& m_load;
  std::vector<TargetFaultPeriod> m_faults;
  TimePoint m_start;
  Random m_random;
  Duration m_pause_phase;
  //! At most one attempt per slot.
  std::vector<std::uint64_t> m_running;
  std::deque<QueuedRequest> m_queue;
};

}  // namespace jacinthdeck::bench

#endif  // JACINTHDECK_BENCH_SUPPORT_MODEL_TARGET_H_
