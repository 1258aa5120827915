// Commands about the operators' settings.
#ifndef JACINTHDECK_DAEMONS_CTL_CONFIG_COMMANDS_H_
#define JACINTHDECK_DAEMONS_CTL_CONFIG_COMMANDS_H_

#include <string>
#include <vector>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace jacinthdeck::ctl {

/*! \brief Prints all settings, or one. */
ExitCode ConfigGet(Session& session, const std::vector<std::string>& key);

/*! \brief Changes settings; the schema stays. */
ExitCode ConfigSet(Session& session, const std::vector<std::string>& pairs);

/*! \brief Prints former revisions. */
ExitCode ConfigHistory(Session& session, const std::vector<std::string>& none);

/*! \brief Puts a former revision in force, as a new one. */
ExitCode ConfigRollback(Session& session,
                        const std::vector<std::string>& revision);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_CONFIG_COMMANDS_H_
