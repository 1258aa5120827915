// A caller's typed request after its checks.
#ifndef JACINTHDECK_TYPED_TYPED_REQUEST_H_
#define JACINTHDECK_TYPED_TYPED_REQUEST_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "jacinthdeck/core/result.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/query/call.h"
#include "jacinthdeck/schema/schema.h"

namespace jacinthdeck {

/*! \brief What came over HTTP, before it is checked. */
struct TypedRequest {
  std::string_view service;
  std::string_view method;
  std::string_view tenant;
  //! Milliseconds; empty for the method's own deadline.
  std::string_view deadline_ms;
  const std::string& body;
};

/**
 * \brief Checks a request against the schema.
 * \param schema Schema in force; null if there is none.
 * \param now Moment from which the deadline counts.
 * \return The call without its id; kUnavailable without a schema, kNotFound for
 * a method that is not declared, kInvalidArgument for what does not fit it.
 */
[[nodiscard]] Result<Call> CheckTypedRequest(
    const std::shared_ptr<const Schema>& schema,
    const TypedRequest& request,
    TimePoint now);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TYPED_TYPED_REQUEST_H_
