// Computes connection shares and staggers the opening of connections.
#include "jacinthdeck/routing/connection_plan.h"

#include <algorithm>

namespace jacinthdeck {

std::uint32_t ConnectionShare(std::uint32_t limit,
                              std::uint32_t hosts) noexcept {
  return std::max<std::uint32_t>(1, limit / (hosts + 1));
}

ConnectionPlan PlanConnections(const TargetInfo& target,
                               std::uint32_t share,
                               std::uint32_t hosts,
                               Random& random) {
  ConnectionPlan plan;
  if (target.state != TargetState::kLive) {
    return plan;
  }
  plan.max_connections = share;
  plan.idle_spares = share > 1 ? 1 : 0;
  // All hosts reconnect at once after a target restarts. Their connections
  // would queue up at the target, so they are spread over the time that it
  // needs to accept one from each host.
  const Duration spread = target.connection_open_time * (hosts + 1);
  plan.first_open_delay = Duration(static_cast<Duration::rep>(
      random.Below(static_cast<std::uint64_t>(spread.count()))));
  plan.open_interval = spread;
  return plan;
}

}  // namespace jacinthdeck
