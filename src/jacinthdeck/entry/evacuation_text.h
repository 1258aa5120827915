// Formats evacuated failure domains as JSON, for logs and the status of a host.
#ifndef JACINTHDECK_ENTRY_EVACUATION_TEXT_H_
#define JACINTHDECK_ENTRY_EVACUATION_TEXT_H_

#include <span>
#include <string>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/evacuation.h"

namespace jacinthdeck {

/*! \brief Formats evacuations as a JSON array. Each element has the failure
 * domain, the revision in the store, and the time in milliseconds since this
 * host learned of the evacuation. */
[[nodiscard]] std::string EvacuationsText(
    std::span<const Evacuation> evacuations,
    TimePoint now);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_EVACUATION_TEXT_H_
