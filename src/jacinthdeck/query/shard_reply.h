// What one shard contributed to an answer.
#ifndef JACINTHDECK_QUERY_SHARD_REPLY_H_
#define JACINTHDECK_QUERY_SHARD_REPLY_H_

#include <cstdint>
#include <vector>

#include "jacinthdeck/query/hit.h"

namespace jacinthdeck {

/*! \brief Accepted reply of one shard; there is at most one for a shard. */
struct ShardReply {
  std::vector<Hit> hits;
  std::uint64_t count = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_SHARD_REPLY_H_
