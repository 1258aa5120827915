// Commands about hosts and partition maps.
#ifndef JACINTHDECK_DAEMONS_CTL_HOST_COMMANDS_H_
#define JACINTHDECK_DAEMONS_CTL_HOST_COMMANDS_H_

#include <string>
#include <vector>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace jacinthdeck::ctl {

/*! \brief Prints what one host knows and does. */
ExitCode ShowStatus(Session& session, const std::vector<std::string>& none);

/*! \brief Prints which addresses callers of typed calls are told to use. */
ExitCode ShowEntries(Session& session, const std::vector<std::string>& none);

/*! \brief Prints the hosts that are registered in the store. */
ExitCode ShowHosts(Session& session, const std::vector<std::string>& none);

/*! \brief Checks a file of partition maps and writes each service's. */
ExitCode IndexApply(Session& session, const std::vector<std::string>& file);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_HOST_COMMANDS_H_
