// Which hosts a caller is told to connect to.
#ifndef JACINTHDECK_DISCOVERY_DIRECTORY_CHOICE_H_
#define JACINTHDECK_DISCOVERY_DIRECTORY_CHOICE_H_

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "jacinthdeck/discovery/host_record.h"

namespace jacinthdeck {

/*! \brief Who asks, and who answers. */
struct DirectoryRequest {
  //! Failure domain of the caller; empty if it did not say.
  FailureDomain caller_domain;
  //! This host; left out if it takes no callers.
  HostRecord self;
  bool self_accepts_callers = false;
  //! Most addresses to return.
  std::size_t max_addresses = 64;
};

/**
 * \brief Chooses the callers' addresses of live hosts.
 * \param hosts Hosts as the store names them; may hold an old record of self.
 * \return Addresses without doubles; of the caller's failure domain alone where
 * it has enough hosts; empty if none is known.
 */
[[nodiscard]] std::vector<std::string> ChooseCallerAddresses(
    const DirectoryRequest& request,
    std::span<const HostRecord> hosts);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_DIRECTORY_CHOICE_H_
