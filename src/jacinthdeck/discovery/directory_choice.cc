// Prefers hosts of the caller's failure domain: others cost the caller latency
// and cause traffic between failure domains.
#include "jacinthdeck/discovery/directory_choice.h"

#include <algorithm>
#include <functional>
#include <set>

namespace jacinthdeck {

namespace {

//! Minimum number of hosts to return, if so many exist: with fewer, a caller
//! may know no live host while the directory still lists hosts that just
//! failed.
constexpr std::size_t kMinAddresses = 3;
//! Number of hosts in the caller's failure domain that suffices to leave out
//! hosts of other domains.
constexpr std::ptrdiff_t kMinOwnDomainHosts = 2;

//! Drops hosts of other domains, except those needed to reach kMinAddresses.
//! Which hosts remain depends on the caller's domain, so that the callers of
//! several domains do not all go to the same host.
void PreferOwnDomain(std::vector<const HostRecord*>& chosen,
                     std::ptrdiff_t own_count,
                     const FailureDomain& domain) {
  if (own_count < kMinOwnDomainHosts) {
    return;
  }
  const auto others = chosen.begin() + own_count;
  const auto count = chosen.end() - others;
  if (count > 0) {
    const auto first = static_cast<std::ptrdiff_t>(
        std::hash<FailureDomain>{}(domain) % static_cast<std::size_t>(count));
    std::rotate(others, others + first, chosen.end());
  }
  const std::size_t kept =
      std::max(static_cast<std::size_t>(own_count), kMinAddresses);
  chosen.resize(std::min(chosen.size(), kept));
}

//! Drops the hosts of domains without targets if enough others remain: from
//! such a host each part of an answer comes from another domain.
void PreferDomainsWithTargets(std::vector<const HostRecord*>& chosen,
                              const std::set<FailureDomain>& target_domains) {
  const auto lacks_targets = [&](const HostRecord* host) {
    return !target_domains.contains(host->domain);
  };
  const auto others = std::ranges::count_if(chosen, lacks_targets);
  if (chosen.size() - static_cast<std::size_t>(others) >= kMinAddresses) {
    std::erase_if(chosen, lacks_targets);
  }
}

}  // namespace

std::vector<std::string> ChooseCallerAddresses(
    const DirectoryRequest& request,
    std::span<const HostRecord> hosts) {
  std::vector<const HostRecord*> chosen;
  for (const HostRecord& host : hosts) {
    if (host.name != request.self.name) {
      chosen.push_back(&host);
    }
  }
  if (request.self_accepts_callers) {
    chosen.push_back(&request.self);
  }
  PreferDomainsWithTargets(chosen, request.target_domains);
  const auto others = std::stable_partition(
      chosen.begin(), chosen.end(), [&](const HostRecord* host) {
        return host->domain == request.caller_domain;
      });
  PreferOwnDomain(chosen, others - chosen.begin(), request.caller_domain);
  std::vector<std::string> addresses;
  for (const HostRecord* host : chosen) {
    const bool known =
        std::ranges::find(addresses, host->callers) != addresses.end();
    if (!known && addresses.size() < request.max_addresses) {
      addresses.push_back(host->callers);
    }
  }
  return addresses;
}

}  // namespace jacinthdeck
