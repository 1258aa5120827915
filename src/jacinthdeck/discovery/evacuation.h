// An operator's order to send no requests to the targets of a failure domain.
#ifndef JACINTHDECK_DISCOVERY_EVACUATION_H_
#define JACINTHDECK_DISCOVERY_EVACUATION_H_

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/store_types.h"

namespace jacinthdeck {

/*! \brief A failure domain whose targets get no requests while it exists. */
struct Evacuation {
  FailureDomain domain;
  //! Position of the last write of its key.
  StorePosition position;
  //! When this host learned of it.
  TimePoint since;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_EVACUATION_H_
