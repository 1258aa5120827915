// Reads the answer of the host list.
#ifndef JACINTHDECK_STANDINS_TARGET_TARGET_LIST_H_
#define JACINTHDECK_STANDINS_TARGET_TARGET_LIST_H_

#include <string_view>
#include <vector>

#include "jacinthdeck/core/result.h"
#include "jacinthdeck/routing/target_info.h"

namespace jacinthdeck {

/**
 * \brief Reads a host list.
 * \param text JSON text.
 * \param subject Where it came from, for errors.
 * \return The targets in the order of the list; kCorrupt with the member for a
 * wrong shape, an address that is no IP number, an unknown state, no slot or
 * connection, or an id that stands twice.
 */
[[nodiscard]] Result<std::vector<TargetInfo>> ReadHostList(
    std::string_view text,
    std::string_view subject);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_STANDINS_TARGET_TARGET_LIST_H_
