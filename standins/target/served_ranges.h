// Which key ranges one target serves in which versions.
#ifndef JACINTHDECK_STANDINS_TARGET_SERVED_RANGES_H_
#define JACINTHDECK_STANDINS_TARGET_SERVED_RANGES_H_

#include <map>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/query/key_range.h"
#include "jacinthdeck/query/partition_map.h"

namespace jacinthdeck::standins {

/*! \brief Ranges by version; a version is here also when the target holds none
 * of it. */
using ServedRanges = std::map<IndexVersion, std::vector<KeyRange>>;

/*! \brief Picks what a target holds from the maps of its service. */
[[nodiscard]] inline ServedRanges ServedRangesOf(
    const TargetId& target,
    const std::vector<PartitionMap>& maps) {
  ServedRanges served_ranges;
  for (const PartitionMap& map : maps) {
    std::vector<KeyRange>& ranges = served_ranges[map.version];
    for (const Shard& shard : map.shards) {
      for (const TargetId& replica : shard.replicas) {
        if (replica == target) {
          ranges.push_back(shard.range);
        }
      }
    }
  }
  return served_ranges;
}

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_TARGET_SERVED_RANGES_H_
