// Assignment of key ranges to targets in one index version of a service.
#ifndef JACINTHDECK_QUERY_PARTITION_MAP_H_
#define JACINTHDECK_QUERY_PARTITION_MAP_H_

#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/query/key_range.h"

namespace jacinthdeck {

/*! \brief Shard of an index version: a key range and its replicas. */
struct Shard {
  ShardId id;
  KeyRange range;
  //! Targets that serve the range in this version.
  std::vector<TargetId> replicas;
};

/*! \brief Index version together with its shards. Both come from the same
 * source, so that they always match. */
struct PartitionMap {
  IndexVersion version;
  //! Ordered by range; disjoint and without gaps over the whole key space.
  std::vector<Shard> shards;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_PARTITION_MAP_H_
