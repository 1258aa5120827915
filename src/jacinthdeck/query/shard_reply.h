// Contribution of one shard to an answer.
#ifndef JACINTHDECK_QUERY_SHARD_REPLY_H_
#define JACINTHDECK_QUERY_SHARD_REPLY_H_

#include <cstdint>
#include <vector>

#include "jacinthdeck/query/hit.h"

namespace jacinthdeck {

/*! \brief Reply accepted for a shard; a call accepts at most one per shard. */
struct ShardReply {
  std::vector<Hit> hits;
  std::uint64_t count = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_SHARD_REPLY_H_
