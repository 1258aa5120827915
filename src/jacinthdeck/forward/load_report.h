// Load that a target reports with each response.
#ifndef JACINTHDECK_FORWARD_LOAD_REPORT_H_
#define JACINTHDECK_FORWARD_LOAD_REPORT_H_

#include <cstdint>

namespace jacinthdeck {

/*! \brief Load of a target by the requests of all callers. */
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  //! Current time that work takes at the target, relative to its usual time.
  double slowdown = 1;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_LOAD_REPORT_H_
