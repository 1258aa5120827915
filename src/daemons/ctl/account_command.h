// Declares the commands for the client accounts of an installation.
#ifndef JACINTHDECK_DAEMONS_CTL_ACCOUNT_COMMAND_H_
#define JACINTHDECK_DAEMONS_CTL_ACCOUNT_COMMAND_H_

#include <string>
#include <vector>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace jacinthdeck::ctl {

/**
 * \brief Validates a configuration as hosts read it, and prints its errors or a
 * summary of its accounts without their keys.
 *
 * Neither the store nor a host is asked.
 */
ExitCode AccountsCheck(Session& session, const std::vector<std::string>& file);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_ACCOUNT_COMMAND_H_
