// What the logs of many hosts tell: of one request, or of all that was lost.
#ifndef JACINTHDECK_DAEMONS_CTL_EXPLAIN_COMMAND_H_
#define JACINTHDECK_DAEMONS_CTL_EXPLAIN_COMMAND_H_

#include <string>
#include <vector>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace jacinthdeck::ctl {

/**
 * \brief Reads logs of hosts and tells the story of one request.
 *
 * Prints each line about the request with its attempts, and the last lines on
 * what its host believed before it. Lines that cannot be read are counted.
 *
 * With the option `--summary` it counts the losses of all requests instead.
 *
 * \param operands The request's id, then files; with `--summary` files alone.
 * \return kDone if there is a line on the request, else kFailed; with
 * `--summary` kDone.
 */
ExitCode Explain(Session& session, const std::vector<std::string>& operands);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_EXPLAIN_COMMAND_H_
