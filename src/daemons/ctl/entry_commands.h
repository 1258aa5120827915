// Commands about the entry itself.
#ifndef JACINTHDECK_DAEMONS_CTL_ENTRY_COMMANDS_H_
#define JACINTHDECK_DAEMONS_CTL_ENTRY_COMMANDS_H_

#include <string>
#include <vector>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace jacinthdeck::ctl {

/*! \brief Prints members, revision, targets and work of the entry. */
ExitCode ShowStatus(Session& session, const std::vector<std::string>& none);

/*! \brief Prints which addresses callers are told to use. */
ExitCode ShowEntries(Session& session, const std::vector<std::string>& none);

/*! \brief Makes the entry leave. */
ExitCode Drain(Session& session, const std::vector<std::string>& none);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_ENTRY_COMMANDS_H_
