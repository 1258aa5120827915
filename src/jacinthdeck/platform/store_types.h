// Writes and leases of the platform store; items and revisions are those of
// the cluster module.
#ifndef JACINTHDECK_PLATFORM_STORE_TYPES_H_
#define JACINTHDECK_PLATFORM_STORE_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "jacinthdeck/cluster/store_call.h"
#include "jacinthdeck/core/strong_id.h"

namespace jacinthdeck {

/*! \brief A lease of the store. */
using LeaseId = StrongId<struct LeaseTag, std::uint64_t>;

//! Revision of a key that does not exist.
inline constexpr StoreRevision kNoRevision{0};

//! Most bytes of a value.
inline constexpr std::size_t kMaxStoreValueBytes = std::size_t{1} << 20U;

/*! \brief A compare-and-swap write. */
struct StorePut {
  std::string key;
  std::string value;
  //! Revision that the key must have; kNoRevision: it must not exist.
  StoreRevision previous;
  //! Lease that the key goes away with.
  std::optional<LeaseId> lease;
};

/*! \brief End of a compare-and-swap whose reply arrived. */
struct StoreWrite {
  //! False: the key had another revision, and nothing was changed.
  bool applied = false;
  //! Revision of the key now.
  StoreRevision revision;

  [[nodiscard]] bool operator==(const StoreWrite&) const = default;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PLATFORM_STORE_TYPES_H_
