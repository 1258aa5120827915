// The items behind the fake targets: which version holds what, and where.
#ifndef JACINTHDECK_TEST_SCENARIO_DATASET_H_
#define JACINTHDECK_TEST_SCENARIO_DATASET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jacinthdeck/query/hit.h"
#include "jacinthdeck/query/partition_map.h"

namespace jacinthdeck::scenario {

//! The one service of a scenario.
inline constexpr const char* kService = "Shelf";
//! Schema that declares it; a change of the configuration keeps it.
inline constexpr const char* kSchema = R"(
table SearchRequest { q:string; }
table ClaimRequest { ticket:string; by:string; }
table Reply { id:string; }
rpc_service Shelf {
  Search(SearchRequest):Reply (fan_out: "all", merge: "union", deadline_ms: 500, limit: 1000);
  Claim(ClaimRequest):Reply (fan_out: "key", key: "ticket", merge: "lookup", repeat: "once", deadline_ms: 500);
}
)";

/*! \brief Versions of an index over a fixed set of items. Each version cuts the
 * key space at other places, so that every publication is also a repartition.
 */
class Dataset {
 public:
  Dataset(std::size_t shards, std::size_t replicas);

  [[nodiscard]] std::vector<TargetId> Targets() const;

  /*! \brief Adds a version and returns its number. */
  IndexVersion Publish();
  /*! \brief Drops a version: no target serves it any more. */
  void Retire(IndexVersion version);

  /*! \brief Versions that targets serve, newest last. */
  [[nodiscard]] std::vector<PartitionMap> Maps() const;
  /*! \brief Whether targets serve a version. */
  [[nodiscard]] bool Serves(IndexVersion version) const;
  /*! \brief Whether a target holds a range in a version. */
  [[nodiscard]] bool Holds(const TargetId& target,
                           IndexVersion version,
                           const KeyRange& range) const;

  /*! \brief What a version holds in a range, ordered by id; each hit names its
   * version in its data. */
  [[nodiscard]] std::vector<Hit> Items(IndexVersion version,
                                       const KeyRange& range) const;

 private:
  static constexpr std::size_t kItems = 60;

  [[nodiscard]] TargetId TargetOf(std::size_t shard, std::size_t replica) const;

  std::size_t m_shards;
  std::size_t m_replicas;
  std::uint64_t m_next_version = 1;
  //! Served versions only.
  std::map<IndexVersion, PartitionMap> m_maps;
};

}  // namespace jacinthdeck::scenario

#endif  // JACINTHDECK_TEST_SCENARIO_DATASET_H_
