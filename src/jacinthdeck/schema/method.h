// Declaration of one call of a service in the operators' schema.
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

//! Values of the attribute `fan_out` in a schema.
inline constexpr NameTable<FanOut, 2> kFanOutNames{{"all", "key"}};

/*! \brief How the replies of the shards are merged into one answer. */
enum class MergeRule {
  //! The hits with the best scores, ordered by score, then id.
  kTopK,
  //! Every distinct hit, ordered by id.
  kUnion,
  //! The sum of the shards' counts.
  kCount,
  //! The one hit of a call with FanOut::kKey.
  kLookup,
};

//! Values of the attribute `merge` in a schema.
inline constexpr NameTable<MergeRule, 4> kMergeRuleNames{
    {"top_k", "union", "count", "lookup"}};

/*! \brief Whether a request may reach a target more than once. */
enum class Repeat {
  //! The request may be hedged and retried.
  kIdempotent,
  //! The request runs at most once, whatever fails.
  kOnce,
};

//! Values of the attribute `repeat` in a schema.
inline constexpr NameTable<Repeat, 2> kRepeatNames{{"idempotent", "once"}};

/*! \brief Declaration of a call, with the defaults of its attributes. */
struct Method {
  ServiceId service;
  std::string name;
  FanOut fan_out = FanOut::kAll;
  MergeRule merge = MergeRule::kTopK;
  Repeat repeat = Repeat::kIdempotent;
  //! Deadline of a request whose caller sets none.
  Duration deadline = std::chrono::milliseconds(250);
  //! Maximum number of hits in an answer, for kTopK and kUnion.
  std::uint32_t limit = 20;
  //! Request field whose hash selects the shard; empty for FanOut::kAll.
  std::string key_field;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_SCHEMA_METHOD_H_
