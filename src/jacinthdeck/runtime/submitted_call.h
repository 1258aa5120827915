// A checked call on its way from an edge to the decision thread.
#ifndef JACINTHDECK_RUNTIME_SUBMITTED_CALL_H_
#define JACINTHDECK_RUNTIME_SUBMITTED_CALL_H_

#include <memory>
#include <optional>

#include "jacinthdeck/core/request_id.h"
#include "jacinthdeck/query/call.h"
#include "jacinthdeck/runtime/call_result.h"
#include "jacinthdeck/schema/schema.h"

namespace jacinthdeck {

/*! \brief A call with where its end goes. */
struct SubmittedCall {
  //! The id is given by the decision thread.
  Call call;
  //! Set for methods with Repeat::kOnce.
  std::optional<RequestId> request;
  //! Schema that the call was checked against; a newer one in force checks it
  //! again.
  std::shared_ptr<const Schema> schema;
  CallSink sink;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_SUBMITTED_CALL_H_
