// All live hosts, the caller's own failure domain first.
#include "jacinthdeck/discovery/directory_choice.h"

#include <algorithm>

namespace jacinthdeck {

std::vector<std::string> ChooseHosts(const DirectoryQuestion& question,
                                     std::span<const HostRecord> hosts) {
  std::vector<const HostRecord*> chosen;
  for (const HostRecord& host : hosts) {
    if (host.name != question.self.name) {
      chosen.push_back(&host);
    }
  }
  if (question.self_serves) {
    chosen.push_back(&question.self);
  }
  std::stable_partition(
      chosen.begin(), chosen.end(),
      [&](const HostRecord* host) { return host->domain == question.caller; });
  std::vector<std::string> addresses;
  for (const HostRecord* host : chosen) {
    const bool known =
        std::ranges::find(addresses, host->callers) != addresses.end();
    if (!known && addresses.size() < question.most) {
      addresses.push_back(host->callers);
    }
  }
  return addresses;
}

}  // namespace jacinthdeck
