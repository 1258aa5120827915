// Parser of the host list, which names the targets of a deployment.
#ifndef JACINTHDECK_STANDINS_TARGET_TARGET_LIST_H_
#define JACINTHDECK_STANDINS_TARGET_TARGET_LIST_H_

#include <string_view>
#include <vector>

#include "jacinthdeck/core/result.h"
#include "jacinthdeck/routing/target_info.h"

namespace jacinthdeck {

/**
 * \brief Parses a host list.
 * \param text JSON text.
 * \param subject Source of the text, named in errors.
 * \return The targets in the order of the list; kCorrupt, naming the member,
 * for a wrong type, an empty name, an address that is no IP address, an unknown
 * state, a number out of bounds (port, slots and connections are at least 1),
 * or a duplicate id.
 */
[[nodiscard]] Result<std::vector<TargetInfo>> ReadHostList(
    std::string_view text,
    std::string_view subject);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_STANDINS_TARGET_TARGET_LIST_H_
