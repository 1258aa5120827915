// Declares the command that shows which hosts serve with data of the store's
// current era.
#ifndef JACINTHDECK_DAEMONS_CTL_ERA_COMMAND_H_
#define JACINTHDECK_DAEMONS_CTL_ERA_COMMAND_H_

#include <string>
#include <vector>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace jacinthdeck::ctl {

/**
 * \brief Prints the era of the store and the eras of the given hosts.
 * \param hosts Metrics ports (IP:PORT) of the hosts whose status is read.
 * \return kDone if every host serves with data of the store's era; kPartial if
 * one does not or its status cannot be read.
 */
ExitCode ShowEra(Session& session, const std::vector<std::string>& hosts);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_ERA_COMMAND_H_
