// Commands about the operators' schema.
#ifndef JACINTHDECK_DAEMONS_CTL_SCHEMA_COMMANDS_H_
#define JACINTHDECK_DAEMONS_CTL_SCHEMA_COMMANDS_H_

#include <string>
#include <vector>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace jacinthdeck::ctl {

/*! \brief Checks a file and lists what it declares. */
ExitCode SchemaCheck(Session& session, const std::vector<std::string>& file);

/*! \brief Checks a file and puts it in force; the settings stay. */
ExitCode SchemaApply(Session& session, const std::vector<std::string>& file);

/*! \brief Prints the schema in force. */
ExitCode SchemaShow(Session& session, const std::vector<std::string>& none);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_SCHEMA_COMMANDS_H_
