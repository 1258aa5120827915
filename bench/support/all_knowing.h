// Oracle bound of the tail bench: a scheduler with global knowledge.
#ifndef JACINTHDECK_BENCH_SUPPORT_ALL_KNOWING_H_
#define JACINTHDECK_BENCH_SUPPORT_ALL_KNOWING_H_

#include <algorithm>
#include <vector>

#include "support/tail_case.h"
#include "support/tail_stats.h"

namespace jacinthdeck::bench {

/**
 * \brief Oracle that sends each request to the replica with the earliest
 * expected completion.
 *
 * It knows when each slot becomes free, which requests would be stragglers at
 * which replica, and every fault immediately; it does not know the service time
 * that will be drawn. It sends no hedges or retries, and connections open
 * without delay.
 */
class OracleScheduler {
 public:
  explicit OracleScheduler(const TailCase& tail_case)
      : m_case(tail_case), m_random(tail_case.seed) {
    const Deployment& deployment = tail_case.deployment;
    m_slot_free_at.assign(
        static_cast<std::size_t>(deployment.shards) * deployment.replicas,
        std::vector<double>(deployment.slots, 0.0));
  }

  [[nodiscard]] TailResult Run() {
    const Deployment& deployment = m_case.deployment;
    const double mean_interarrival =
        static_cast<double>(kMeanServiceTime.count()) /
        (deployment.replicas * deployment.slots * m_case.fault.offered_load);
    const std::uint32_t warmup_calls = m_case.queries / 5;
    TailStats stats;
    double now = 0;
    double measured_from = 0;
    for (std::uint32_t query = 0; query < warmup_calls + m_case.queries;
         ++query) {
      now -= mean_interarrival * std::log(1 - m_random.Unit());
      m_measuring = query >= warmup_calls;
      double end = now;
      for (std::uint32_t shard = 0; shard < deployment.shards; ++shard) {
        end = std::max(end, Place(shard, now));
      }
      if (query == warmup_calls) {
        measured_from = now;
      }
      if (query >= warmup_calls) {
        const double latency =
            end - now +
            2 * static_cast<double>(deployment.one_way_delay.count());
        stats.Add(Duration(static_cast<Duration::rep>(latency)),
                  latency <= kDeadlineUs ? Outcome::kWhole : Outcome::kPartial,
                  0);
      }
    }
    return stats.ComputeResult(
        Duration(static_cast<Duration::rep>(now - measured_from)));
  }

 private:
  static constexpr double kDeadlineUs = 250000;

  [[nodiscard]] bool IsLost(std::uint32_t shard, std::uint32_t replica) const {
    return m_measuring && ((m_case.fault.lost_replica &&
                            replica == shard % m_case.deployment.replicas) ||
                           (m_case.fault.lost_domain && replica == 0));
  }

  //! Assigns a request to a slot; returns when it completes, or the deadline if
  //! all replicas of the shard are lost.
  [[nodiscard]] double Place(std::uint32_t shard, double now) {
    const Deployment& deployment = m_case.deployment;
    double* slot = nullptr;
    double earliest_end = 0;
    double chosen_factor = 1;
    for (std::uint32_t replica = 0; replica < deployment.replicas; ++replica) {
      double factor =
          m_random.Unit() < m_case.fault.straggler_share ? kStragglerFactor : 1;
      if (m_measuring && m_case.fault.slow_server && shard == 0 &&
          replica == 0) {
        factor *= kStragglerFactor;
      }
      if (IsLost(shard, replica)) {
        continue;
      }
      auto& slot_free_at =
          m_slot_free_at[shard * deployment.replicas + replica];
      const auto earliest_slot = std::ranges::min_element(slot_free_at);
      const double end = std::max(*earliest_slot, now) +
                         factor * static_cast<double>(kMeanServiceTime.count());
      if (slot == nullptr || end < earliest_end) {
        slot = &*earliest_slot;
        earliest_end = end;
        chosen_factor = factor;
      }
    }
    if (slot == nullptr) {
      return now + kDeadlineUs;
    }
    *slot = std::max(*slot, now) +
            chosen_factor * DrawServiceTime(m_case.distribution, m_random);
    return *slot;
  }

  TailCase m_case;
  Random m_random;
  //! Whether the measured time has begun; servers are slow or lost from then
  //! on.
  bool m_measuring = false;
  //! For each target, when each of its slots becomes free, in microseconds.
  std::vector<std::vector<double>> m_slot_free_at;
};

}  // namespace jacinthdeck::bench

#endif  // JACINTHDECK_BENCH_SUPPORT_ALL_KNOWING_H_
