// Choice of the index version from the partition maps, the targets' states and
// their reports.
#include "jacinthdeck/query/version_catalog.h"

#include <algorithm>
#include <utility>

#include "jacinthdeck/query/coverage.h"

namespace jacinthdeck {

bool VersionCatalog::HasVersions(const ServiceId& service) const {
  const auto found = m_services.find(service);
  return found != m_services.end() && !found->second.maps.empty();
}

std::size_t VersionCatalog::ShardCount(const ServiceId& service) const {
  return HasVersions(service)
             ? m_services.at(service).maps.back()->shards.size()
             : 0;
}

bool VersionCatalog::IsListed(const ServiceId& service,
                              IndexVersion version) const {
  const auto found = m_services.find(service);
  return found != m_services.end() &&
         std::ranges::any_of(found->second.maps, [version](const auto& map) {
           return map->version == version;
         });
}

VersionChoice VersionCatalog::Choose(const VersionRequest& request,
                                     TimePoint now) const {
  const auto found = m_services.find(request.service);
  if (found == m_services.end()) {
    return {};
  }
  const Versions& versions = found->second;
  VersionChoice best;
  std::size_t most_usable = 0;
  for (auto at = versions.maps.rbegin(); at != versions.maps.rend(); ++at) {
    const auto& map = *at;
    if (std::ranges::find(request.excluded, map->version) !=
        request.excluded.end()) {
      continue;
    }
    std::size_t asked = 0;
    std::size_t usable = 0;
    for (const Shard& shard : map->shards) {
      if (request.key && !shard.range.Contains(*request.key)) {
        continue;
      }
      ++asked;
      usable +=
          std::ranges::any_of(shard.replicas, [&](const TargetId& target) {
            return IsUsable(versions, map->version, target, now);
          });
    }
    if (asked > 0 && usable == asked) {
      return VersionChoice{map, true};
    }
    if (!best.map || usable > most_usable) {
      best.map = map;
      most_usable = usable;
    }
  }
  return best;
}

bool VersionCatalog::IsUsable(const ServiceId& service,
                              IndexVersion version,
                              const TargetId& target,
                              TimePoint now) const {
  const auto found = m_services.find(service);
  return found != m_services.end() &&
         IsUsable(found->second, version, target, now);
}

bool VersionCatalog::IsUsable(const Versions& versions,
                              IndexVersion version,
                              const TargetId& target,
                              TimePoint now) const {
  const TargetInfo* info = m_router.FindTarget(target);
  if (info == nullptr || info->state != TargetState::kLive) {
    return false;
  }
  const auto gone = versions.gone.find(version);
  if (gone == versions.gone.end()) {
    return true;
  }
  const auto reported_at = gone->second.find(target);
  return reported_at == gone->second.end() ||
         reported_at->second + kVersionGoneTtl <= now;
}

std::size_t VersionCatalog::Set(const ServiceId& service,
                                std::vector<PartitionMap> maps) {
  Versions& versions = m_services[service];
  versions.maps.clear();
  for (PartitionMap& map : maps) {
    if (IsPartition(map)) {
      versions.maps.push_back(
          std::make_shared<const PartitionMap>(std::move(map)));
    }
  }
  std::ranges::stable_sort(versions.maps, {},
                           [](const auto& map) { return map->version; });
  std::erase_if(versions.gone, [&](const auto& gone) {
    return !IsListed(service, gone.first);
  });
  return maps.size() - versions.maps.size();
}

void VersionCatalog::RecordVersionGone(const ServiceId& service,
                                       IndexVersion version,
                                       const TargetId& target,
                                       TimePoint now) {
  if (IsListed(service, version)) {
    m_services[service].gone[version][target] = now;
  }
}

}  // namespace jacinthdeck
