// The bound: one chooser that sees every queue and every straggler at once.
#ifndef JACINTHDECK_BENCH_SUPPORT_ALL_KNOWING_H_
#define JACINTHDECK_BENCH_SUPPORT_ALL_KNOWING_H_

#include <algorithm>
#include <vector>

#include "support/tail_case.h"
#include "support/tail_stats.h"

namespace jacinthdeck::bench {

/**
 * \brief Places each request where it is expected to end first.
 *
 * It knows when each slot becomes free, which requests would straggle where,
 * and faults at once; it does not know the service time drawn. It sends nothing
 * twice and pays no connection opening.
 */
class AllKnowing {
 public:
  explicit AllKnowing(const TailCase& what)
      : m_case(what), m_random(what.seed) {
    const Deployment& d = what.deployment;
    m_free.assign(static_cast<std::size_t>(d.shards) * d.replicas,
                  std::vector<double>(d.slots, 0.0));
  }

  [[nodiscard]] TailResult Run() {
    const Deployment& d = m_case.deployment;
    const double gap = static_cast<double>(kMeanService.count()) /
                       (d.replicas * d.slots * m_case.fault.load);
    const std::uint32_t warm = m_case.queries / 5;
    TailStats stats;
    double now = 0;
    double from = 0;
    for (std::uint32_t query = 0; query < warm + m_case.queries; ++query) {
      now -= gap * std::log(1 - m_random.Unit());
      m_faulty = query >= warm;
      double end = now;
      for (std::uint32_t shard = 0; shard < d.shards; ++shard) {
        end = std::max(end, Place(shard, now));
      }
      if (query == warm) {
        from = now;
      }
      if (query >= warm) {
        const double latency =
            end - now + 2 * static_cast<double>(d.one_way_delay.count());
        stats.Add(Duration(static_cast<Duration::rep>(latency)),
                  latency <= kDeadlineUs ? Outcome::kWhole : Outcome::kPartial,
                  0);
      }
    }
    return stats.Result(Duration(static_cast<Duration::rep>(now - from)));
  }

 private:
  static constexpr double kDeadlineUs = 250000;

  [[nodiscard]] bool IsLost(std::uint32_t shard, std::uint32_t replica) const {
    return m_faulty && ((m_case.fault.lost_replica &&
                         replica == shard % m_case.deployment.replicas) ||
                        (m_case.fault.lost_domain && replica == 0));
  }

  [[nodiscard]] double Place(std::uint32_t shard, double now) {
    const Deployment& d = m_case.deployment;
    double* slot = nullptr;
    double least = 0;
    double chosen_factor = 1;
    for (std::uint32_t replica = 0; replica < d.replicas; ++replica) {
      double factor =
          m_random.Unit() < m_case.fault.stragglers ? kStragglerFactor : 1;
      if (m_faulty && m_case.fault.slow_server && shard == 0 && replica == 0) {
        factor *= kStragglerFactor;
      }
      if (IsLost(shard, replica)) {
        continue;
      }
      auto& free = m_free[shard * d.replicas + replica];
      const auto first = std::ranges::min_element(free);
      const double end = std::max(*first, now) +
                         factor * static_cast<double>(kMeanService.count());
      if (slot == nullptr || end < least) {
        slot = &*first;
        least = end;
        chosen_factor = factor;
      }
    }
    if (slot == nullptr) {
      return now + kDeadlineUs;
    }
    *slot = std::max(*slot, now) +
            chosen_factor * DrawService(m_case.shape, m_random);
    return *slot;
  }

  TailCase m_case;
  Random m_random;
  bool m_faulty = false;
  //! For each target, when its slots become free.
  std::vector<std::vector<double>> m_free;
};

}  // namespace jacinthdeck::bench

#endif  // JACINTHDECK_BENCH_SUPPORT_ALL_KNOWING_H_
