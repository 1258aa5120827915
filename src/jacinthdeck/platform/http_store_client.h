// The platform's store over HTTP.
#ifndef JACINTHDECK_PLATFORM_HTTP_STORE_CLIENT_H_
#define JACINTHDECK_PLATFORM_HTTP_STORE_CLIENT_H_

#include <optional>
#include <string>
#include <vector>

#include "jacinthdeck/platform/http_client.h"
#include "jacinthdeck/platform/store_client.h"

namespace jacinthdeck {

/*! \brief Speaks the store calls of docs/design/protocols.md; safe to use from
 * many threads at once. */
class HttpStoreClient final : public StoreClient {
 public:
  /**
   * \brief Makes a client; opens no connection.
   * \param endpoint Where the store listens.
   * \param timeout Longest time of a call; a watch may take its own wait in
   * addition. Rounded up to whole seconds.
   */
  HttpStoreClient(HttpEndpoint endpoint, Duration timeout);

  [[nodiscard]] Result<std::optional<StoreItem>> Get(
      const std::string& key) override;
  [[nodiscard]] Result<std::vector<StoreItem>> List(
      const std::string& prefix) override;
  [[nodiscard]] Result<StoreWrite> Put(const StorePut& put) override;
  [[nodiscard]] Result<StoreWrite> Delete(const std::string& key,
                                          StoreRevision previous) override;
  [[nodiscard]] Result<std::optional<StoreItem>>
  Watch(const std::string& key, StoreRevision after, Duration timeout) override;
  [[nodiscard]] Result<LeaseId> GrantLease(Duration ttl) override;
  [[nodiscard]] Result<LeaseId> RenewLease(LeaseId lease) override;

 private:
  [[nodiscard]] Result<HttpAnswer> Read(HttpCall call) const;
  [[nodiscard]] Result<HttpAnswer> Write(HttpCall call) const;

  HttpClient m_client;
  Duration m_timeout;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PLATFORM_HTTP_STORE_CLIENT_H_
