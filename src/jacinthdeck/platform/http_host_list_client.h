// The host list over HTTP.
#ifndef JACINTHDECK_PLATFORM_HTTP_HOST_LIST_CLIENT_H_
#define JACINTHDECK_PLATFORM_HTTP_HOST_LIST_CLIENT_H_

#include <vector>

#include "jacinthdeck/platform/host_list_client.h"
#include "jacinthdeck/platform/http_client.h"

namespace jacinthdeck {

/*! \brief Reads `GET /v1/hosts`; safe to use from many threads at once. */
class HttpHostListClient final : public HostListClient {
 public:
  /**
   * \brief Makes a client; opens no connection.
   * \param endpoint Where the host list listens.
   * \param timeout Longest time of a call, rounded up to whole seconds.
   */
  HttpHostListClient(HttpEndpoint endpoint, Duration timeout);

  [[nodiscard]] Result<std::vector<TargetInfo>> Fetch() override;

 private:
  HttpClient m_client;
  Duration m_timeout;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PLATFORM_HTTP_HOST_LIST_CLIENT_H_
