// A request to a target after its checks.
#ifndef JACINTHDECK_STANDINS_TARGET_TARGET_QUERY_H_
#define JACINTHDECK_STANDINS_TARGET_TARGET_QUERY_H_

#include <chrono>
#include <string>

#include "http/http_message.h"
#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/json.h"
#include "jacinthdeck/core/result.h"
#include "jacinthdeck/query/key_range.h"

namespace jacinthdeck::standins {

/*! \brief `POST /query` as the target sees it. */
struct TargetQuery {
  std::string attempt;
  std::string method;
  IndexVersion version;
  KeyRange range;
  JsonPtr request;
  //! The request as canonical JSON.
  std::string request_text;
  std::chrono::steady_clock::time_point deadline;
};

/**
 * \brief Reads a query.
 * \param request HTTP request.
 * \return The query; kCorrupt with the member or header that is wrong.
 */
[[nodiscard]] Result<TargetQuery> ReadTargetQuery(const HttpRequest& request);

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_TARGET_TARGET_QUERY_H_
