// Generated content of a service's index, the same on every target for the same
// seed.
#ifndef JACINTHDECK_STANDINS_TARGET_DATASET_H_
#define JACINTHDECK_STANDINS_TARGET_DATASET_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/query/hit.h"
#include "jacinthdeck/query/key_range.h"

struct json_t;

namespace jacinthdeck::standins {

/*! \brief Hashes a text; the result is the same in every process. */
[[nodiscard]] std::uint64_t StableHash(std::string_view text,
                                       std::uint64_t seed);

/*! \brief Answer of one shard. */
struct ShardAnswer {
  //! By descending score, then by id.
  std::vector<Hit> hits;
  //! Matching items, including those beyond the limit on hits.
  std::uint64_t count = 0;
};

/**
 * \brief Generated items of one service, each at a key of the key space.
 *
 * Targets that serve the same range return the same hits, and disjoint ranges
 * yield disjoint hits, so that a shard that is merged twice or lost shows in
 * the merged answer.
 */
class Dataset {
 public:
  /**
   * \brief Generates the items.
   * \param service Service; part of the items' ids.
   * \param items Number of items.
   * \param seed Seed of the items' keys and scores.
   */
  Dataset(const ServiceId& service, std::size_t items, std::uint64_t seed);

  /**
   * \brief Answers a request over a range.
   * \param range Keys to search.
   * \param version Version that the data of each hit names.
   * \param request Request; a string member whose name ends in `_id` asks for
   * the one item with that id, an integer `limit` bounds the number of hits.
   * \return The hits and the number of matching items.
   */
  [[nodiscard]] ShardAnswer Answer(const KeyRange& range,
                                   IndexVersion version,
                                   const json_t& request) const;

 private:
  struct Item {
    std::uint64_t key = 0;
    std::string id;
  };

  std::uint64_t m_seed;
  //! Sorted by key.
  std::vector<Item> m_items;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_TARGET_DATASET_H_
