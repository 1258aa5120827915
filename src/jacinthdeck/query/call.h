// A caller's request after its checks.
#ifndef JACINTHDECK_QUERY_CALL_H_
#define JACINTHDECK_QUERY_CALL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/schema/method.h"

namespace jacinthdeck {

/*! \brief One call inside one entry. */
struct Call {
  CallId id;
  TenantId tenant;
  std::shared_ptr<const Method> method;
  //! Request as canonical JSON.
  std::shared_ptr<const std::string> body;
  //! Hash of the key field, for keyed calls.
  std::optional<std::uint64_t> key;
  //! When the caller stops waiting.
  TimePoint deadline;
  Fingerprint fingerprint;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_CALL_H_
