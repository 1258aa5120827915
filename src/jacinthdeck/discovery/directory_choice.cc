// Near hosts first: a longer way costs the caller time, and traffic between
// failure domains.
#include "jacinthdeck/discovery/directory_choice.h"

#include <algorithm>
#include <functional>

namespace jacinthdeck {

namespace {

//! Hosts that a caller is told of at least, where there are so many: with fewer
//! it has nowhere to go while the directory still names those that just died.
constexpr std::size_t kMinAddresses = 3;
//! Own hosts from which callers keep to their failure domain.
constexpr std::ptrdiff_t kMinOwnDomainHosts = 2;

//! Leaves hosts of other domains out, but for those that make up the number.
//! They differ from domain to domain, so that no host gets them all.
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
