// Commands that print one reply of the daemon as it is.
#ifndef JACINTHDECK_DAEMONS_CTL_SHOW_H_
#define JACINTHDECK_DAEMONS_CTL_SHOW_H_

#include <string>
#include <variant>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace jacinthdeck::ctl {

/*! \brief Gets a path of the operator port and prints the reply. */
ExitCode ShowOperators(Session& session, const std::string& path);

/*! \brief Prints a reply, or why there is none. */
ExitCode ShowReply(Session& session,
                   const std::variant<DaemonReply, Error>& called);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_SHOW_H_
