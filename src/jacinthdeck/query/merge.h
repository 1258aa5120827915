// How the replies of the shards become one list of hits or one count.
#ifndef JACINTHDECK_QUERY_MERGE_H_
#define JACINTHDECK_QUERY_MERGE_H_

#include <cstdint>
#include <vector>

#include "jacinthdeck/query/hit.h"
#include "jacinthdeck/query/shard_reply.h"
#include "jacinthdeck/schema/method.h"

namespace jacinthdeck {

/*! \brief Hits and count of a whole answer. */
struct Merged {
  std::vector<Hit> hits;
  std::uint64_t count = 0;
};

/**
 * \brief Merges replies; the result does not depend on their order.
 *
 * Every hit id stands once in the result, with its best score: two targets that
 * both hold a moved key would otherwise show one item twice.
 */
class Merger {
 public:
  /**
   * \brief Makes a merger.
   * \param rule Rule of the method.
   * \param limit Most hits of kTopK and kUnion.
   */
  Merger(MergeRule rule, std::uint32_t limit) noexcept
      : m_rule(rule), m_limit(limit) {}

  /*! \brief Takes the one reply of a shard. */
  void Add(ShardReply reply);

  /*! \brief Gives the result and leaves the merger empty. */
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
