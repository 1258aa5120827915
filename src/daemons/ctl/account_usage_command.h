// Declares the commands for the use of client accounts over all hosts.
#ifndef JACINTHDECK_DAEMONS_CTL_ACCOUNT_USAGE_COMMAND_H_
#define JACINTHDECK_DAEMONS_CTL_ACCOUNT_USAGE_COMMAND_H_

#include <string>
#include <vector>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace jacinthdeck::ctl {

/*! \brief Prints the accounts in the store with their limits, and their
 * requests at the given hosts (metrics IP:PORT). */
ExitCode AccountsList(Session& session, const std::vector<std::string>& hosts);

/*! \brief Prints an account, the first operand, as each of the given hosts sees
 * it. */
ExitCode AccountsShow(Session& session,
                      const std::vector<std::string>& name_and_hosts);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_ACCOUNT_USAGE_COMMAND_H_
