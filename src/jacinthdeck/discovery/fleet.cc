// Ranks hosts within their failure domains.
#include "jacinthdeck/discovery/fleet.h"

#include <algorithm>
#include <map>
#include <string>

namespace jacinthdeck {

namespace {

constexpr std::size_t kLeastWatchers = 3;
//! Hosts of a failure domain that take callers at least: one may be lost.
constexpr std::size_t kLeastFronts = 2;
//! Connections of a target that one host needs to use its slots.
constexpr std::uint32_t kConnectionsPerFront = 3;
//! A host takes callers with the strongest if it has this part of their
//! strength.
constexpr double kStrongPart = 0.5;
//! More hosts take callers while more than this share of the fronts is busy:
//! twice as many hosts, of which the former half is busy, are enough.
constexpr double kBusyShare = 0.5;

using Ranked = std::map<FailureDomain, std::vector<const HostRecord*>>;

[[nodiscard]] bool Stronger(const HostRecord* left, const HostRecord* right) {
  if (left->cpu_millicores != right->cpu_millicores) {
    return left->cpu_millicores > right->cpu_millicores;
  }
  return left->name < right->name;
}

[[nodiscard]] Ranked Rank(std::span<const HostRecord> hosts) {
  Ranked ranked;
  for (const HostRecord& host : hosts) {
    ranked[host.domain].push_back(&host);
  }
  for (auto& [domain, of_domain] : ranked) {
    std::ranges::sort(of_domain, Stronger);
  }
  return ranked;
}

//! Number of hosts of a domain that are about as strong as the strongest.
[[nodiscard]] std::size_t CountStrong(
    const std::vector<const HostRecord*>& ranked,
    std::uint32_t strongest) {
  const double least = kStrongPart * strongest;
  return static_cast<std::size_t>(std::ranges::count_if(
      ranked,
      [&](const HostRecord* host) { return host->cpu_millicores >= least; }));
}

//! The first hosts of each domain.
[[nodiscard]] std::vector<HostRecord> Take(
    const Ranked& ranked,
    const std::map<FailureDomain, std::size_t>& counts) {
  std::vector<HostRecord> taken;
  for (const auto& [domain, of_domain] : ranked) {
    const std::size_t count = std::min(counts.at(domain), of_domain.size());
    for (std::size_t i = 0; i < count; ++i) {
      taken.push_back(*of_domain[i]);
    }
  }
  return taken;
}

[[nodiscard]] bool IsBusy(const std::vector<HostRecord>& fronts) {
  const auto busy = std::ranges::count_if(
      fronts, [](const HostRecord& host) { return host.busy; });
  return static_cast<double>(busy) >
         kBusyShare * static_cast<double>(fronts.size());
}

}  // namespace

std::vector<NodeId> ChooseWatchers(std::span<const HostRecord> hosts) {
  const Ranked ranked = Rank(hosts);
  std::vector<NodeId> watchers;
  if (ranked.empty()) {
    return watchers;
  }
  const std::size_t per_domain =
      (kLeastWatchers + ranked.size() - 1) / ranked.size();
  for (const auto& [domain, of_domain] : ranked) {
    for (std::size_t i = 0; i < std::min(per_domain, of_domain.size()); ++i) {
      watchers.push_back(of_domain[i]->name);
    }
  }
  return watchers;
}

std::vector<HostRecord> ChooseFronts(std::span<const HostRecord> hosts,
                                     std::uint32_t target_connections) {
  if (hosts.size() <= kSmallFleetSize) {
    return {hosts.begin(), hosts.end()};
  }
  const Ranked ranked = Rank(hosts);
  std::uint32_t strongest = 0;
  for (const HostRecord& host : hosts) {
    strongest = std::max(strongest, host.cpu_millicores);
  }
  const std::size_t most = std::max<std::size_t>(
      target_connections / kConnectionsPerFront, kLeastFronts * ranked.size());
  const std::size_t most_of_domain =
      std::max<std::size_t>(most / ranked.size(), kLeastFronts);
  std::map<FailureDomain, std::size_t> counts;
  for (const auto& [domain, of_domain] : ranked) {
    const std::size_t strong = CountStrong(of_domain, strongest);
    counts[domain] = std::clamp(strong, kLeastFronts, most_of_domain);
  }
  std::vector<HostRecord> fronts = Take(ranked, counts);
  while (IsBusy(fronts) && fronts.size() < most) {
    for (auto& [domain, count] : counts) {
      count = std::min(2 * count, most_of_domain);
    }
    const std::size_t before = fronts.size();
    fronts = Take(ranked, counts);
    if (fronts.size() == before) {
      break;
    }
  }
  return fronts;
}

}  // namespace jacinthdeck
