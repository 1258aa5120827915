// A validated typed call.
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

/*! \brief Typed call that this host has validated and is to answer. */
struct Call {
  CallId id;
  TenantId tenant;
  std::shared_ptr<const Method> method;
  //! Request body as canonical JSON.
  std::shared_ptr<const std::string> body;
  //! Hash of the key field; set for keyed calls only.
  std::optional<std::uint64_t> key;
  //! Time at which the caller stops waiting.
  TimePoint deadline;
  Fingerprint fingerprint;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_CALL_H_
