// Merges the shards' replies into one list of hits or one count.
#ifndef JACINTHDECK_QUERY_MERGE_H_
#define JACINTHDECK_QUERY_MERGE_H_

#include <cstdint>
#include <vector>

#include "jacinthdeck/query/hit.h"
#include "jacinthdeck/query/shard_reply.h"
#include "jacinthdeck/schema/method.h"

namespace jacinthdeck {

/*! \brief Merged hits and count of all shards. */
struct Merged {
  std::vector<Hit> hits;
  std::uint64_t count = 0;
};

/**
 * \brief Merges replies; the result does not depend on the order of Add().
 *
 * Every hit id appears once in the result, with its best score. Without that,
 * an item whose key is being moved and is held by two targets would appear
 * twice.
 */
class Merger {
 public:
  /**
   * \brief Constructs a merger.
   * \param rule Merge rule of the method.
   * \param limit Maximum number of hits for kTopK and kUnion.
   */
  Merger(MergeRule rule, std::uint32_t limit) noexcept
      : m_rule(rule), m_limit(limit) {}

  /*! \brief Adds the reply of a shard; called at most once per shard. */
  void Add(ShardReply reply);

  /*! \brief Returns the merged result and resets the merger. */
  [[nodiscard]] Merged Take();

 private:
  using Step = void (Merger::*)();

  void TopK();
  void Union();
  void Count();
  void Lookup();
  void KeepBestOfEachId();

  MergeRule m_rule;
  std::uint32_t m_limit;
  Merged m_merged;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_MERGE_H_
