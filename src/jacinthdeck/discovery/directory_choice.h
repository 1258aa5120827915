// Selection of the hosts that a caller is told to connect to.
#ifndef JACINTHDECK_DISCOVERY_DIRECTORY_CHOICE_H_
#define JACINTHDECK_DISCOVERY_DIRECTORY_CHOICE_H_

#include <cstddef>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "jacinthdeck/discovery/host_record.h"

namespace jacinthdeck {

/*! \brief A caller's request for host addresses. */
struct DirectoryRequest {
  //! Failure domain of the caller; empty if it sent none.
  FailureDomain caller_domain;
  //! This host's record; left out if it accepts no callers.
  HostRecord self;
  bool self_accepts_callers = false;
  //! Domains that hold targets of the shards; empty if that is unknown.
  std::set<FailureDomain> target_domains;
  //! Maximum number of addresses to return.
  std::size_t max_addresses = 64;
};

/**
 * \brief Chooses the addresses of live hosts for a caller.
 * \param hosts Hosts registered in the store; may hold an old record of self.
 * \return Distinct addresses, those of the caller's failure domain first. Only
 * hosts of that domain if it has targets and enough hosts; otherwise only hosts
 * of domains with targets if these have enough. Empty if no host is known.
 */
[[nodiscard]] std::vector<std::string> ChooseCallerAddresses(
    const DirectoryRequest& request,
    std::span<const HostRecord> hosts);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_DIRECTORY_CHOICE_H_
