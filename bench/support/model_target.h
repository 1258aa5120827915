// A target in model time: slots, a queue, pauses and faults.
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
enum class Arrival { kTaken, kRefused, kNotConnected, kIgnored };

/*! \brief One target. Times are those of the run; it holds no clock. */
class ModelTarget {
 public:
  struct Started {
    std::uint64_t attempt = 0;
    TimePoint done;
  };

  ModelTarget(const ForwardCase& load,
              std::vector<TargetFaultPeriod> faults,
              TimePoint start,
              std::uint64_t seed);

  /*! \brief Takes a request of so much work, or does not. */
  [[nodiscard]] Arrival Take(std::uint64_t attempt,
                             Duration service_time,
                             TimePoint now);

  /*! \brief Drops a request that is waiting or running. */
  void Drop(std::uint64_t attempt);

  /*! \brief Starts work while slots are free; says when each is done. */
  [[nodiscard]] std::vector<Started> StartWork(TimePoint now);

  /*! \brief Moment at which it goes on, if it stands still now. */
  [[nodiscard]] std::optional<TimePoint> PausedUntil(TimePoint now) const;

  /*! \brief What it tells of its load in a response. */
  [[nodiscard]] LoadReport Load() const;

  /*! \brief Tells whether it answers at all. */
  [[nodiscard]] bool IsAlive(TimePoint now) const;

 private:
  struct Waiting {
    std::uint64_t attempt = 0;
    Duration service_time{};
  };

  [[nodiscard]] const TargetFaultPeriod* FaultAt(TimePoint now) const;

  const ForwardCase& m_load;
  std::vector<TargetFaultPeriod> m_faults;
  TimePoint m_start;
  Random m_random;
  Duration m_pause_phase;
  //! At most as many as there are slots.
  std::vector<std::uint64_t> m_running;
  std::deque<Waiting> m_waiting;
};

}  // namespace jacinthdeck::bench

#endif  // JACINTHDECK_BENCH_SUPPORT_MODEL_TARGET_H_
