// Ranks the hosts of each failure domain by processor capacity.
#include "jacinthdeck/discovery/fleet.h"

#include <algorithm>
#include <map>
#include <string>

namespace jacinthdeck {

namespace {

constexpr std::size_t kMinWatchers = 3;
//! Minimum number of fronts in a failure domain: one may be lost.
constexpr std::size_t kMinFrontsPerDomain = 2;
//! Connections to a target that one front needs to use the target's slots.
constexpr std::uint32_t kConnectionsPerFront = 3;
//! A host becomes a front at once if it has this share of the highest capacity.
//! Each front learns of slow and failing targets from its own calls alone, so
//! more fronts than the load needs make each of them learn later.
constexpr double kMinCapacityShare = 0.7;
//! Hosts are added while more than this share of the fronts is busy. Each step
//! doubles the fronts; once only the former half is busy, no more are added.
constexpr double kMaxBusyShare = 0.5;

using Ranked = std::map<FailureDomain, std::vector<const HostRecord*>>;

[[nodiscard]] bool Stronger(const HostRecord* left, const HostRecord* right) {
  if (left->cpu_millicores != right->cpu_millicores) {
    return left->cpu_millicores > right->cpu_millicores;
  }
  return left->name < right->name;
}

[[nodiscard]] Ranked RankByDomain(std::span<const HostRecord> hosts) {
  Ranked ranked;
  for (const HostRecord& host : hosts) {
    ranked[host.domain].push_back(&host);
  }
  for (auto& [domain, domain_hosts] : ranked) {
    std::ranges::sort(domain_hosts, Stronger);
  }
  return ranked;
}

//! Removes the domains without targets, unless fewer than two domains with
//! hosts would remain: the loss of one must leave fronts.
void KeepDomainsWithTargets(Ranked& ranked,
                            const std::set<FailureDomain>& target_domains) {
  constexpr std::ptrdiff_t kMinDomains = 2;
  const auto lacks_targets = [&](const auto& item) {
    return !target_domains.contains(item.first);
  };
  if (std::ranges::count_if(ranked, [&](const auto& item) {
        return !lacks_targets(item);
      }) >= kMinDomains) {
    std::erase_if(ranked, lacks_targets);
  }
}

//! Returns how many hosts of a domain have at least kMinCapacityShare of the
//! highest capacity.
[[nodiscard]] std::size_t CountStrong(
    const std::vector<const HostRecord*>& ranked,
    std::uint32_t strongest) {
  const double min_capacity = kMinCapacityShare * strongest;
  return static_cast<std::size_t>(
      std::ranges::count_if(ranked, [&](const HostRecord* host) {
        return host->cpu_millicores >= min_capacity;
      }));
}

//! Returns the highest-ranked hosts of each domain.
//! \param counts Number of hosts to take, by domain.
[[nodiscard]] std::vector<HostRecord> TakeStrongest(
    const Ranked& ranked,
    const std::map<FailureDomain, std::size_t>& counts) {
  std::vector<HostRecord> strongest_hosts;
  for (const auto& [domain, domain_hosts] : ranked) {
    const std::size_t count = std::min(counts.at(domain), domain_hosts.size());
    for (std::size_t i = 0; i < count; ++i) {
      strongest_hosts.push_back(*domain_hosts[i]);
    }
  }
  return strongest_hosts;
}

[[nodiscard]] bool IsBusy(const std::vector<HostRecord>& fronts) {
  const auto busy = std::ranges::count_if(
      fronts, [](const HostRecord& host) { return host.busy; });
  return static_cast<double>(busy) >
         kMaxBusyShare * static_cast<double>(fronts.size());
}

}  // namespace

std::vector<HostId> ChooseWatchers(std::span<const HostRecord> hosts) {
  const Ranked ranked = RankByDomain(hosts);
  std::vector<HostId> watchers;
  if (ranked.empty()) {
    return watchers;
  }
  const std::size_t per_domain =
      (kMinWatchers + ranked.size() - 1) / ranked.size();
  for (const auto& [domain, domain_hosts] : ranked) {
    for (std::size_t i = 0; i < std::min(per_domain, domain_hosts.size());
         ++i) {
      watchers.push_back(domain_hosts[i]->name);
    }
  }
  return watchers;
}

std::vector<HostRecord> ChooseFronts(
    std::span<const HostRecord> hosts,
    std::uint32_t target_connections,
    const std::set<FailureDomain>& target_domains) {
  if (hosts.size() <= kSmallFleetSize) {
    return {hosts.begin(), hosts.end()};
  }
  Ranked ranked = RankByDomain(hosts);
  KeepDomainsWithTargets(ranked, target_domains);
  std::uint32_t strongest = 0;
  for (const HostRecord& host : hosts) {
    strongest = std::max(strongest, host.cpu_millicores);
  }
  const std::size_t max_fronts =
      std::max<std::size_t>(target_connections / kConnectionsPerFront,
                            kMinFrontsPerDomain * ranked.size());
  const std::size_t max_per_domain =
      std::max<std::size_t>(max_fronts / ranked.size(), kMinFrontsPerDomain);
  std::map<FailureDomain, std::size_t> counts;
  for (const auto& [domain, domain_hosts] : ranked) {
    const std::size_t strong = CountStrong(domain_hosts, strongest);
    counts[domain] = std::clamp(strong, kMinFrontsPerDomain, max_per_domain);
  }
  std::vector<HostRecord> fronts = TakeStrongest(ranked, counts);
  while (IsBusy(fronts) && fronts.size() < max_fronts) {
    for (auto& [domain, count] : counts) {
      count = std::min(2 * count, max_per_domain);
    }
    const std::size_t before = fronts.size();
    fronts = TakeStrongest(ranked, counts);
    if (fronts.size() == before) {
      break;
    }
  }
  return fronts;
}

}  // namespace jacinthdeck
