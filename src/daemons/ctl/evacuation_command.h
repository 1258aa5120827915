// Declares the command that shows which failure domains are evacuated and which
// hosts do not apply this yet.
#ifndef JACINTHDECK_DAEMONS_CTL_EVACUATION_COMMAND_H_
#define JACINTHDECK_DAEMONS_CTL_EVACUATION_COMMAND_H_

#include <string>
#include <vector>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace jacinthdeck::ctl {

/**
 * \brief Prints the evacuations in the store and the hosts that do not apply
 * all of them.
 * \param hosts Metrics ports (IP:PORT) of the hosts whose status is read.
 * \return kDone if every host applies all evacuations; kPartial if one does not
 * or its status cannot be read.
 */
ExitCode ShowEvacuations(Session& session,
                         const std::vector<std::string>& hosts);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_EVACUATION_COMMAND_H_
