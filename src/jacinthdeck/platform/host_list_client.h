// The host list, as the system sees it.
#ifndef JACINTHDECK_PLATFORM_HOST_LIST_CLIENT_H_
#define JACINTHDECK_PLATFORM_HOST_LIST_CLIENT_H_

#include <vector>

#include "jacinthdeck/core/result.h"
#include "jacinthdeck/routing/target_info.h"

namespace jacinthdeck {

/*! \brief Source of the targets; what it says may be old. */
class HostListClient {
 public:
  virtual ~HostListClient() = default;

  /**
   * \brief Reads the whole list; blocks, at most for its timeout.
   * \return The targets. kUnavailable when there is no reply; kCorrupt for a
   * list that is refused as a whole.
   */
  [[nodiscard]] virtual Result<std::vector<TargetInfo>> Fetch() = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PLATFORM_HOST_LIST_CLIENT_H_
