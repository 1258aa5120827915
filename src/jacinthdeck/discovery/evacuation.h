// An operator's order that nothing be sent to the targets of a domain.
#ifndef JACINTHDECK_DISCOVERY_EVACUATION_H_
#define JACINTHDECK_DISCOVERY_EVACUATION_H_

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/store_types.h"

namespace jacinthdeck {

/*! \brief A failure domain whose targets get nothing until it is removed. */
struct Evacuation {
  FailureDomain domain;
  //! Of the store, at its last write.
  StorePosition position;
  //! When this host learned of it.
  TimePoint since;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_EVACUATION_H_
