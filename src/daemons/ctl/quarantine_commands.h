// Commands about requests that are refused because they crash targets.
#ifndef JACINTHDECK_DAEMONS_CTL_QUARANTINE_COMMANDS_H_
#define JACINTHDECK_DAEMONS_CTL_QUARANTINE_COMMANDS_H_

#include <string>
#include <vector>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace jacinthdeck::ctl {

/*! \brief Prints the fingerprints in quarantine. */
ExitCode QuarantineList(Session& session, const std::vector<std::string>& none);

/*! \brief Ends the quarantine of one fingerprint. */
ExitCode QuarantineClear(Session& session,
                         const std::vector<std::string>& fingerprint);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_QUARANTINE_COMMANDS_H_
