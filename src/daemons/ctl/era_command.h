// Which hosts have taken the content of the store's present era.
#ifndef JACINTHDECK_DAEMONS_CTL_ERA_COMMAND_H_
#define JACINTHDECK_DAEMONS_CTL_ERA_COMMAND_H_

#include <string>
#include <vector>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace jacinthdeck::ctl {

/**
 * \brief Prints the era of the store and of hosts.
 * \param hosts Metrics ports (IP:PORT) of hosts that are asked.
 * \return kDone if each host serves by the store's era; kPartial if one does
 * not, or cannot be asked.
 */
ExitCode ShowEra(Session& session, const std::vector<std::string>& hosts);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_ERA_COMMAND_H_
