// One remote procedure call as operators declared it.
#ifndef JACINTHDECK_SCHEMA_METHOD_H_
#define JACINTHDECK_SCHEMA_METHOD_H_

#include <cstdint>
#include <string>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Which shards a call goes to. */
enum class FanOut {
  //! Every shard of the index version.
  kAll,
  //! The one shard that holds the hash of the key field.
  kKey,
};

//! Names of the fan-outs as they stand in a schema file.
inline constexpr NameTable<FanOut, 2> kFanOutNames{{"all", "key"}};

/*! \brief How the replies of the shards become one answer. */
enum class MergeRule {
  //! The best hits by score, then id.
  kTopK,
  //! Every hit once, ordered by id.
  kUnion,
  //! The sum of the shards' counts.
  kCount,
  //! The one hit of a keyed call.
  kLookup,
};

//! Names of the merge rules as they stand in a schema file.
inline constexpr NameTable<MergeRule, 4> kMergeRuleNames{
    {"top_k", "union", "count", "lookup"}};

/*! \brief Whether a request may reach a target more than once. */
enum class Repeat {
  //! May be hedged and retried.
  kIdempotent,
  //! Runs at most once, whatever fails.
  kOnce,
};

//! Names of the repeat rules as they stand in a schema file.
inline constexpr NameTable<Repeat, 2> kRepeatNames{{"idempotent", "once"}};

/*! \brief Declaration of a call. */
struct Method {
  ServiceId service;
  std::string name;
  FanOut fan_out = FanOut::kAll;
  MergeRule merge = MergeRule::kTopK;
  Repeat repeat = Repeat::kIdempotent;
  //! Time a caller waits when it names no deadline of its own.
  Duration deadline = std::chrono::milliseconds(250);
  //! Most hits in an answer of kTopK and kUnion.
  std::uint32_t limit = 20;
  //! Request field whose hash chooses the shard; empty for kAll.
  std::string key_field;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_SCHEMA_METHOD_H_
