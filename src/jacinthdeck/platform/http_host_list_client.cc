// Host list over HTTP.
#include "jacinthdeck/platform/http_host_list_client.h"

#include <string>
#include <utility>

#include "jacinthdeck/platform/host_list_reader.h"

namespace jacinthdeck {

HttpHostListClient::HttpHostListClient(HttpEndpoint endpoint, Duration timeout)
    : m_client(std::move(endpoint)), m_timeout(timeout) {}

Result<std::vector<TargetInfo>> HttpHostListClient::Fetch() {
  constexpr long kOk = 200;
  BOOST_LEAF_AUTO(answer,
                  m_client.Call({.path = "/v1/hosts", .timeout = m_timeout}));
  if (answer.status != kOk) {
    return Fail(ErrorCode::kUnavailable, "host list",
                "replied with status " + std::to_string(answer.status));
  }
  return ReadHostList(answer.body, "host list");
}

}  // namespace jacinthdeck
