// Helpers of commands that print a reply of a host without interpreting it.
#ifndef JACINTHDECK_DAEMONS_CTL_SHOW_H_
#define JACINTHDECK_DAEMONS_CTL_SHOW_H_

#include <string>
#include <variant>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace jacinthdeck::ctl {

/*! \brief Sends a GET request for a path to a host and prints the reply. */
ExitCode Show(Session& session,
              const Endpoint& endpoint,
              const std::string& path);

/*! \brief Prints the reply of a call, or the error if the call failed. */
ExitCode ShowReply(Session& session,
                   const std::variant<HostReply, Error>& result);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_SHOW_H_
