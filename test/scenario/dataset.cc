// The items behind the fake targets.
#include "scenario/dataset.h"

#include <algorithm>

#include "jacinthdeck/schema/key_hash.h"

namespace jacinthdeck::scenario {

Dataset::Dataset(std::size_t shards, std::size_t replicas)
    : m_shards(shards), m_replicas(replicas) {}

TargetId Dataset::TargetOf(std::size_t shard, std::size_t replica) const {
  return TargetId("t" + std::to_string(shard) + "-" + std::to_string(replica));
}

std::vector<TargetId> Dataset::Targets() const {
  std::vector<TargetId> targets;
  for (std::size_t shard = 0; shard < m_shards; ++shard) {
    for (std::size_t replica = 0; replica < m_replicas; ++replica) {
      targets.push_back(TargetOf(shard, replica));
    }
  }
  return targets;
}

IndexVersion Dataset::Publish() {
  const IndexVersion version(m_next_version++);
  const std::uint64_t width = kKeySpaceEnd / m_shards;
  // Every version moves the inner borders, so ranges change hands.
  const std::uint64_t shift = (version.raw() % 4) * (width / 5);
  PartitionMap map;
  map.version = version;
  for (std::size_t shard = 0; shard < m_shards; ++shard) {
    Shard part;
    part.id = ShardId(static_cast<std::uint32_t>(shard));
    part.range.begin = shard == 0 ? 0 : shard * width + shift;
    part.range.end =
        shard + 1 == m_shards ? kKeySpaceEnd : (shard + 1) * width + shift;
    for (std::size_t replica = 0; replica < m_replicas; ++replica) {
      part.replicas.push_back(TargetOf(shard, replica));
    }
    map.shards.push_back(part);
  }
  m_maps[version] = map;
  return version;
}

void Dataset::Retire(IndexVersion version) {
  m_maps.erase(version);
}

std::vector<PartitionMap> Dataset::Maps() const {
  std::vector<PartitionMap> maps;
  for (const auto& [version, map] : m_maps) {
    maps.push_back(map);
  }
  return maps;
}

bool Dataset::Serves(IndexVersion version) const {
  return m_maps.contains(version);
}

bool Dataset::Holds(const TargetId& target,
                    IndexVersion version,
                    const KeyRange& range) const {
  const auto found = m_maps.find(version);
  if (found == m_maps.end()) {
    return false;
  }
  return std::ranges::any_of(found->second.shards, [&](const Shard& shard) {
    return shard.range == range &&
           std::ranges::find(shard.replicas, target) != shard.replicas.end();
  });
}

std::vector<Hit> Dataset::Items(IndexVersion version,
                                const KeyRange& range) const {
  std::vector<Hit> hits;
  for (std::size_t item = 0; item < kItems; ++item) {
    Hit hit;
    hit.id = "item-" + std::to_string(100 + item);
    hit.score = 1;
    hit.data = R"({"version":)" + std::to_string(version.raw()) + "}";
    if (range.Contains(HashKey(hit.id))) {
      hits.push_back(hit);
    }
  }
  return hits;
}

}  // namespace jacinthdeck::scenario
