// Result of checking a request body against the schema.
#ifndef JACINTHDECK_SCHEMA_CHECKED_REQUEST_H_
#define JACINTHDECK_SCHEMA_CHECKED_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

#include "jacinthdeck/core/ids.h"

namespace jacinthdeck {

/*! \brief A valid request in its canonical form. */
struct CheckedRequest {
  //! JSON with the fields in the order of their declaration, without fields
  //! that have their default value.
  std::string body;
  //! 32-bit hash of the key field, see HashKey(); nothing for a call to all
  //! shards.
  std::optional<std::uint64_t> key;
  //! Hash of service, method and canonical body; the same for all requests with
  //! the same meaning.
  Fingerprint fingerprint;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_SCHEMA_CHECKED_REQUEST_H_
