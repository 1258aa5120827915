// A request body that passed the checks of its schema.
#ifndef JACINTHDECK_SCHEMA_CHECKED_REQUEST_H_
#define JACINTHDECK_SCHEMA_CHECKED_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

#include "jacinthdeck/core/ids.h"

namespace jacinthdeck {

/*! \brief Canonical form of a request. */
struct CheckedRequest {
  //! JSON with the fields in the order of their declaration and defaults left
  //! out.
  std::string body;
  //! 32-bit hash of the key field; nothing for a call to all shards.
  std::optional<std::uint64_t> key;
  //! Same for every request that means the same.
  Fingerprint fingerprint;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_SCHEMA_CHECKED_REQUEST_H_
