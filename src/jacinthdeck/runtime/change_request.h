// An operator's change as the operators' port takes it.
#ifndef JACINTHDECK_RUNTIME_CHANGE_REQUEST_H_
#define JACINTHDECK_RUNTIME_CHANGE_REQUEST_H_

#include <string>

#include "jacinthdeck/cluster/operator_reply.h"
#include "jacinthdeck/core/result.h"

namespace jacinthdeck {

/**
 * \brief Reads and checks the body of POST /v1/config.
 * \param body JSON.
 * \return The change; kInvalidArgument for a missing operation id, a wrong
 * member or a schema that does not parse, so that no faulty schema reaches the
 * store.
 */
[[nodiscard]] Result<ConfigChange> ReadChangeRequest(const std::string& body);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_CHANGE_REQUEST_H_
