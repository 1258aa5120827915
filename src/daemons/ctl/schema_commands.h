// Declares the commands for the schema of an installation.
#ifndef JACINTHDECK_DAEMONS_CTL_SCHEMA_COMMANDS_H_
#define JACINTHDECK_DAEMONS_CTL_SCHEMA_COMMANDS_H_

#include <string>
#include <vector>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace jacinthdeck::ctl {

/*! \brief Validates a schema file and lists the calls that it declares. */
ExitCode SchemaCheck(Session& session, const std::vector<std::string>& file);

/*! \brief Validates a schema file and writes it to the store. Settings are not
 * changed. */
ExitCode SchemaApply(Session& session, const std::vector<std::string>& file);

/*! \brief Prints the schema in the store. */
ExitCode SchemaShow(Session& session, const std::vector<std::string>& none);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_SCHEMA_COMMANDS_H_
