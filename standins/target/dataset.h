// Made-up content of a service's index, the same for every target of one seed.
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

/*! \brief Hash that is the same in every process. */
[[nodiscard]] std::uint64_t StableHash(std::string_view text,
                                       std::uint64_t seed);

/*! \brief What one shard answers. */
struct ShardAnswer {
  //! Best first.
  std::vector<Hit> hits;
  std::uint64_t count = 0;
};

/**
 * \brief Items of one service, each with a place in the key space.
 *
 * Two targets that hold the same range give the same hits, and ranges that are
 * disjoint give disjoint hits, so that a doubled or lost shard shows in the
 * merged answer.
 */
class Dataset {
 public:
  /**
   * \brief Makes up the items.
   * \param service Service; part of the items' ids.
   * \param items Count of items.
   * \param seed Seed.
   */
  Dataset(const ServiceId& service, std::size_t items, std::uint64_t seed);

  /**
   * \brief Answers a request over a range.
   * \param range Keys to look at.
   * \param version Version that each hit names in its data.
   * \param request Request; a string member whose name ends in `_id` asks for
   * the one item of that id, a whole number `limit` bounds the hits.
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
  //! Ordered by key.
  std::vector<Item> m_items;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_TARGET_DATASET_H_
