// Declares the command that sends one request.
#ifndef JACINTHDECK_DAEMONS_CTL_QUERY_COMMAND_H_
#define JACINTHDECK_DAEMONS_CTL_QUERY_COMMAND_H_

#include <string>
#include <vector>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace jacinthdeck::ctl {

/**
 * \brief Sends one request to the port for typed calls of a host and prints the
 * answer with its coverage.
 * \param session Session.
 * \param operands `SERVICE/METHOD` and the request as JSON.
 * \return kDone for a complete answer, kPartial for a partial one, kRefused if
 * the request was not executed, kUnknown if it may have been executed.
 */
ExitCode Query(Session& session, const std::vector<std::string>& operands);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_QUERY_COMMAND_H_
