// Time bounds within which the checks require promises to be kept.
#ifndef SOAK_BOUNDS_H_
#define SOAK_BOUNDS_H_

#include <chrono>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck::soak {

/*! \brief Time bounds of the promises, as users' installations configure them.
 */
struct Bounds {
  //! From the store's confirmation of a configuration until all entries use it.
  Duration apply = std::chrono::seconds(3);
  //! From the confirmation that a target leaves until no request reaches it.
  Duration drain = std::chrono::seconds(3);
  //! From the confirmation of an evacuation until no request reaches the
  //! domain. Operators evacuate in emergencies, so this bound is tighter than
  //! users require.
  Duration evacuate = std::chrono::seconds(1);
  //! From the end of a fault until the affected entry is checked again.
  Duration contact = std::chrono::seconds(4);
  //! After a call saw a configuration, later calls at that entry may still see
  //! the previous one for this long.
  Duration rollback = std::chrono::milliseconds(250);
  //! Minimum share of answered calls in the calm period.
  double recovered_share = 0.25;
};

}  // namespace jacinthdeck::soak

#endif  // SOAK_BOUNDS_H_
