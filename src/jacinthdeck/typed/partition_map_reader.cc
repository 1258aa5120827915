// Checks the shape and the invariants of published partition maps.
#include "jacinthdeck/typed/partition_map_reader.h"

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <utility>

#include "jacinthdeck/core/json.h"
#include "jacinthdeck/core/json_reader.h"

namespace jacinthdeck {

namespace {

[[nodiscard]] Result<KeyRange> ReadRange(const JsonReader& shard) {
  BOOST_LEAF_AUTO(bounds, shard.Array("range"));
  if (bounds.size() != 2) {
    return Fail(ErrorCode::kCorrupt, shard.path() + ".range",
                "has " + std::to_string(bounds.size()) +
                    " elements, expected begin and end");
  }
  BOOST_LEAF_AUTO(begin, bounds[0].AsUnsigned(kKeySpaceEnd));
  BOOST_LEAF_AUTO(end, bounds[1].AsUnsigned(kKeySpaceEnd));
  if (end <= begin) {
    return Fail(ErrorCode::kCorrupt, shard.path() + ".range",
                "is empty, expected begin below end");
  }
  return KeyRange{begin, end};
}

[[nodiscard]] Result<Shard> ReadShard(const JsonReader& json) {
  Shard shard;
  BOOST_LEAF_AUTO(
      id, json.Unsigned("id", std::numeric_limits<std::uint32_t>::max()));
  shard.id = ShardId(static_cast<std::uint32_t>(id));
  BOOST_LEAF_ASSIGN(shard.range, ReadRange(json));
  BOOST_LEAF_AUTO(replicas, json.Array("replicas"));
  std::set<std::string> distinct_names;
  for (const JsonReader& replica : replicas) {
    BOOST_LEAF_AUTO(name, replica.AsString());
    if (name.empty() || !distinct_names.insert(name).second) {
      return Fail(ErrorCode::kCorrupt, replica.path(),
                  "is empty or a duplicate, expected distinct targets");
    }
    shard.replicas.emplace_back(name);
  }
  if (shard.replicas.empty()) {
    return Fail(ErrorCode::kCorrupt, json.path() + ".replicas",
                "is empty, expected at least one target");
  }
  return shard;
}

/*! \brief Checks that a shard begins at the expected key, the end of the shard
 * before it, and returns the end of its own range. */
[[nodiscard]] Result<std::uint64_t> CheckContiguous(const JsonReader& json,
                                                    const Shard& shard,
                                                    std::uint64_t expected) {
  if (shard.range.begin != expected) {
    return Fail(ErrorCode::kCorrupt, json.path() + ".range",
                "begins at " + std::to_string(shard.range.begin) +
                    ", expected " + std::to_string(expected) +
                    ": shards must be ordered, without gap or overlap");
  }
  return shard.range.end;
}

[[nodiscard]] Result<PartitionMap> ReadMap(const JsonReader& json) {
  PartitionMap map;
  BOOST_LEAF_AUTO(
      version,
      json.Unsigned("version", std::numeric_limits<std::int64_t>::max()));
  map.version = IndexVersion(version);
  BOOST_LEAF_AUTO(shards, json.Array("shards"));
  std::uint64_t end = 0;
  std::set<ShardId> ids;
  for (const JsonReader& shard_json : shards) {
    BOOST_LEAF_AUTO(shard, ReadShard(shard_json));
    BOOST_LEAF_ASSIGN(end, CheckContiguous(shard_json, shard, end));
    if (!ids.insert(shard.id).second) {
      return Fail(ErrorCode::kCorrupt, shard_json.path() + ".id",
                  "is a duplicate, expected distinct shard ids");
    }
    map.shards.push_back(std::move(shard));
  }
  if (end != kKeySpaceEnd) {
    return Fail(ErrorCode::kCorrupt, json.path() + ".shards",
                "end at " + std::to_string(end) + ", expected " +
                    std::to_string(kKeySpaceEnd) +
                    ": together they must cover the whole key space");
  }
  return map;
}

}  // namespace

Result<std::vector<PartitionMap>> ReadPartitionMaps(std::string_view text,
                                                    std::string_view subject) {
  BOOST_LEAF_AUTO(json, ParseJson(text, subject));
  return ReadPartitionMaps(JsonReader(json.get(), std::string(subject)));
}

Result<std::vector<PartitionMap>> ReadPartitionMaps(const JsonReader& index) {
  BOOST_LEAF_AUTO(versions, index.Array("versions"));
  std::vector<PartitionMap> maps;
  for (const JsonReader& json : versions) {
    BOOST_LEAF_AUTO(map, ReadMap(json));
    if (!maps.empty() && map.version <= maps.back().version) {
      return Fail(ErrorCode::kCorrupt, json.path() + ".version",
                  "is not above the one before it, expected the newest last");
    }
    maps.push_back(std::move(map));
  }
  return maps;
}

}  // namespace jacinthdeck
