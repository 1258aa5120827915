// Which targets hold which key range in one version of a service's index.
#ifndef JACINTHDECK_QUERY_PARTITION_MAP_H_
#define JACINTHDECK_QUERY_PARTITION_MAP_H_

#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/query/key_range.h"

namespace jacinthdeck {

/*! \brief One shard of an index version. */
struct Shard {
  ShardId id;
  KeyRange range;
  //! Targets that hold the range in this version.
  std::vector<TargetId> replicas;
};

/*! \brief A version together with its partition; the two are never taken from
 * different sources. */
struct PartitionMap {
  IndexVersion version;
  //! Disjoint and together the whole key space, ordered by range.
  std::vector<Shard> shards;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_PARTITION_MAP_H_
