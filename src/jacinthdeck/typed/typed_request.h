// A caller's typed request and its checks.
#ifndef JACINTHDECK_TYPED_TYPED_REQUEST_H_
#define JACINTHDECK_TYPED_TYPED_REQUEST_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/result.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/query/call.h"
#include "jacinthdeck/schema/schema.h"

namespace jacinthdeck {

/*! \brief Parts of a typed request as received over HTTP, not checked yet. */
struct TypedRequest {
  std::string_view service;
  std::string_view method;
  //! Header X-Tenant; empty for the default client account. Ignored if there is
  //! an account.
  std::string_view tenant;
  //! Header X-Deadline-Ms; empty for the method's own deadline.
  std::string_view deadline_ms;
  //! JSON of the request.
  const std::string& body;
  //! Client account of the caller's key; empty if keys are not checked.
  std::optional<TenantId> account = std::nullopt;
};

/**
 * \brief Checks a request against the schema and converts it to a call.
 * \param schema Schema in force; null if there is none.
 * \param request Request to check.
 * \param now Time from which the deadline counts.
 * \return The call without its id; kUnavailable without a schema, kNotFound for
 * a method that is not declared, kInvalidArgument for an invalid client
 * account, deadline or body.
 */
[[nodiscard]] Result<Call> CheckTypedRequest(
    const std::shared_ptr<const Schema>& schema,
    const TypedRequest& request,
    TimePoint now);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TYPED_TYPED_REQUEST_H_
