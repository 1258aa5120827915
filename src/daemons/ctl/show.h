// Commands that print one reply of a host as it is.
#ifndef JACINTHDECK_DAEMONS_CTL_SHOW_H_
#define JACINTHDECK_DAEMONS_CTL_SHOW_H_

#include <string>
#include <variant>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace jacinthdeck::ctl {

/*! \brief Gets a path of a server and prints the reply. */
ExitCode Show(Session& session,
              const Endpoint& endpoint,
              const std::string& path);

/*! \brief Prints a reply, or why there is none. */
ExitCode ShowReply(Session& session,
                   const std::variant<HostReply, Error>& called);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_SHOW_H_
