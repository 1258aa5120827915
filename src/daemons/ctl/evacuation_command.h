// Which failure domains are evacuated, and which hosts do not know it yet.
#ifndef JACINTHDECK_DAEMONS_CTL_EVACUATION_COMMAND_H_
#define JACINTHDECK_DAEMONS_CTL_EVACUATION_COMMAND_H_

#include <string>
#include <vector>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace jacinthdeck::ctl {

/**
 * \brief Prints the evacuations of the store.
 * \param hosts Metrics ports (IP:PORT) of hosts that are asked what they apply.
 * \return kDone if each host applies them all; kPartial if one does not, or
 * cannot be asked.
 */
ExitCode ShowEvacuations(Session& session,
                         const std::vector<std::string>& hosts);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_EVACUATION_COMMAND_H_
