// A client account as the operators configure it.
#ifndef JACINTHDECK_TENANCY_TENANT_H_
#define JACINTHDECK_TENANCY_TENANT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/tenancy/key_digest.h"

namespace jacinthdeck {

/*! \brief Client account of a configuration version. */
struct Tenant {
  TenantId name;
  //! Digests of its keys; empty once all of them are removed, so that no
  //! request is admitted.
  std::vector<KeyDigest> keys;
  //! Requests a second that all hosts together admit; 0 for no limit.
  double rate = 0;
  //! Requests that all hosts together admit at once beyond the rate; at least 1
  //! with a rate above 0.
  double burst = 0;
  //! Priority of its calls, which replaces that of the route; empty to keep the
  //! route's.
  std::optional<std::uint32_t> priority;

  [[nodiscard]] bool limited() const noexcept { return rate > 0; }
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_TENANT_H_
