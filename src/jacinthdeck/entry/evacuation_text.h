// Evacuated domains as JSON, for logs and the status of a host.
#ifndef JACINTHDECK_ENTRY_EVACUATION_TEXT_H_
#define JACINTHDECK_ENTRY_EVACUATION_TEXT_H_

#include <span>
#include <string>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/evacuation.h"

namespace jacinthdeck {

/*! \brief Writes an array with the domain of each, its revision in the store
 * and for how long this host has known it. */
[[nodiscard]] std::string EvacuationsText(
    std::span<const Evacuation> evacuations,
    TimePoint now);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_EVACUATION_TEXT_H_
