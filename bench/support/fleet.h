// Targets and partition map of a deployment.
#ifndef JACINTHDECK_BENCH_SUPPORT_FLEET_H_
#define JACINTHDECK_BENCH_SUPPORT_FLEET_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "jacinthdeck/query/partition_map.h"
#include "jacinthdeck/routing/target_info.h"
#include "support/tail_case.h"

namespace jacinthdeck::bench {

/*! \brief All targets of one service; replica r of shard s has the index
 * s * replicas + r. */
struct Fleet {
  PartitionMap map;
  std::vector<TargetInfo> targets;
  //! Index of each target in `targets`.
  std::unordered_map<TargetId, std::uint32_t> target_index;
};

/*! \brief Creates the targets of a deployment; replica r of every shard is in
 * failure domain r. */
[[nodiscard]] inline Fleet MakeFleet(const Deployment& deployment,
                                     const ServiceId& service) {
  Fleet fleet;
  fleet.map.version = IndexVersion(1);
  for (std::uint32_t shard = 0; shard < deployment.shards; ++shard) {
    Shard& part = fleet.map.shards.emplace_back();
    part.id = ShardId(shard);
    part.range = KeyRange{kKeySpaceEnd * shard / deployment.shards,
                          kKeySpaceEnd * (shard + 1) / deployment.shards};
    for (std::uint32_t replica = 0; replica < deployment.replicas; ++replica) {
      TargetInfo info;
      info.id = TargetId("t-" + std::to_string(shard) + "-" +
                         std::to_string(replica));
      info.service = service;
      info.domain = FailureDomain("d-" + std::to_string(replica));
      info.slots = deployment.slots;
      info.connections = deployment.connections;
      info.connection_open_time = deployment.connection_open_time;
      part.replicas.push_back(info.id);
      fleet.target_index[info.id] =
          static_cast<std::uint32_t>(fleet.targets.size());
      fleet.targets.push_back(info);
    }
  }
  return fleet;
}

}  // namespace jacinthdeck::bench

#endif  // JACINTHDECK_BENCH_SUPPORT_FLEET_H_
