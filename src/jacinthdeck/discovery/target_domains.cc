// Counts the shards of each failure domain.
#include "jacinthdeck/discovery/target_domains.h"

#include <algorithm>
#include <cstddef>
#include <map>

namespace jacinthdeck {

namespace {

//! Minimum number of shards with a target in a domain, relative to the domain
//! that has most. Below it most parts would cross domains; above it, the domain
//! may have lost some targets for a moment, for which no caller should move.
constexpr double kMinShardShare = 0.25;

}  // namespace

std::set<FailureDomain> DomainsWithTargets(
    const RoutingConfig& config,
    std::span<const TargetEntry> targets) {
  std::set<ServiceId> shards;
  for (const Route& route : config.routes()) {
    shards.insert(route.shards.begin(), route.shards.end());
  }
  std::map<FailureDomain, std::set<ServiceId>> by_domain;
  for (const TargetEntry& target : targets) {
    if (shards.contains(target.service)) {
      by_domain[target.domain].insert(target.service);
    }
  }
  std::size_t most = 0;
  for (const auto& [domain, services] : by_domain) {
    most = std::max(most, services.size());
  }
  std::set<FailureDomain> domains;
  for (const auto& [domain, services] : by_domain) {
    if (static_cast<double>(services.size()) >=
        kMinShardShare * static_cast<double>(most)) {
      domains.insert(domain);
    }
  }
  return domains;
}

}  // namespace jacinthdeck
