// Key ranges that one target serves, by index version.
#ifndef JACINTHDECK_STANDINS_TARGET_SERVED_RANGES_H_
#define JACINTHDECK_STANDINS_TARGET_SERVED_RANGES_H_

#include <map>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/query/key_range.h"
#include "jacinthdeck/query/partition_map.h"

namespace jacinthdeck::standins {

/*! \brief Served ranges by version. A known version of which the target serves
 * nothing has an empty list. */
using ServedRanges = std::map<IndexVersion, std::vector<KeyRange>>;

/*! \brief Returns the ranges whose replicas include a target.
 * \param target The target.
 * \param maps Partition maps of its service, one per version. */
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
