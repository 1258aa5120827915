// Declares the commands for hosts and partition maps.
#ifndef JACINTHDECK_DAEMONS_CTL_HOST_COMMANDS_H_
#define JACINTHDECK_DAEMONS_CTL_HOST_COMMANDS_H_

#include <string>
#include <vector>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace jacinthdeck::ctl {

/*! \brief Prints the status of one host. */
ExitCode ShowStatus(Session& session, const std::vector<std::string>& none);

/*! \brief Prints the addresses that a host gives to clients for typed calls. */
ExitCode ShowEntries(Session& session, const std::vector<std::string>& none);

/*! \brief Prints the hosts that are registered in the store. */
ExitCode ShowHosts(Session& session, const std::vector<std::string>& none);

/*! \brief Validates a file of partition maps and writes the maps of each
 * service to the store. */
ExitCode IndexApply(Session& session, const std::vector<std::string>& file);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_HOST_COMMANDS_H_
