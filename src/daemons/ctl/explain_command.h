// Declares the command that evaluates the logs of many hosts, for one request
// or for all losses.
#ifndef JACINTHDECK_DAEMONS_CTL_EXPLAIN_COMMAND_H_
#define JACINTHDECK_DAEMONS_CTL_EXPLAIN_COMMAND_H_

#include <string>
#include <vector>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace jacinthdeck::ctl {

/**
 * \brief Reads logs of hosts and prints the lines of one request.
 *
 * Prints each line of the request with its attempts, and the last lines before
 * it on the state of its host. Lines that cannot be read are counted.
 *
 * With the option `--summary` it counts the losses of all requests instead.
 *
 * \param session Session.
 * \param operands The request id, then log files; with `--summary` log files
 * only.
 * \return kDone if the logs have a line of the request, or with `--summary`;
 * kFailed if they have no such line; kUsage if no log file is given for a
 * request or a file cannot be opened.
 */
ExitCode Explain(Session& session, const std::vector<std::string>& operands);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_EXPLAIN_COMMAND_H_
