// Parsed and checked query to a target.
#ifndef JACINTHDECK_STANDINS_TARGET_TARGET_QUERY_H_
#define JACINTHDECK_STANDINS_TARGET_TARGET_QUERY_H_

#include <chrono>
#include <string>

#include "http/http_message.h"
#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/json.h"
#include "jacinthdeck/core/result.h"
#include "jacinthdeck/query/key_range.h"
#include "target/account_headers.h"

namespace jacinthdeck::standins {

/*! \brief Content of a `POST /query`. */
struct TargetQuery {
  //! Value of the X-Attempt header, by which `/cancel` names the query.
  std::string attempt;
  std::string method;
  IndexVersion version;
  KeyRange range;
  JsonPtr request;
  //! The request as canonical JSON.
  std::string request_text;
  std::chrono::steady_clock::time_point deadline;
  AccountHeaders headers;
};

/**
 * \brief Parses a query. Its deadline is X-Deadline-Ms from now.
 * \param request HTTP request.
 * \return The query; kCorrupt, naming the invalid member or header.
 */
[[nodiscard]] Result<TargetQuery> ReadTargetQuery(const HttpRequest& request);

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_TARGET_TARGET_QUERY_H_
