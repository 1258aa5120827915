// HTTP calls to the systems outside, by the ulfius client: one new connection a
// call.
#ifndef JACINTHDECK_PLATFORM_HTTP_CLIENT_H_
#define JACINTHDECK_PLATFORM_HTTP_CLIENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthdeck/core/result.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Where a server listens. */
struct HttpEndpoint {
  //! IP number.
  std::string address;
  std::uint16_t port = 0;

  [[nodiscard]] bool operator==(const HttpEndpoint&) const = default;

  /*! \brief Renders `address:port`. */
  [[nodiscard]] std::string ToString() const;

  /**
   * \brief Reads `address:port`.
   * \param text IPv4 number, colon, port.
   * \return The endpoint; kInvalidArgument for anything else.
   */
  [[nodiscard]] static Result<HttpEndpoint> Parse(std::string_view text);
};

/*! \brief One header of a call. */
struct HttpHeader {
  std::string name;
  std::string value;
};

/*! \brief One call. */
struct HttpCall {
  std::string verb = "GET";
  //! Path and query, percent-encoded.
  std::string path = "/";
  std::string body = {};
  std::vector<HttpHeader> headers = {};
  //! Longest time for the whole call; the client library rounds it up to whole
  //! seconds.
  Duration timeout = std::chrono::seconds(1);
};

/*! \brief A complete reply, whatever its status. */
struct HttpAnswer {
  long status = 0;
  std::string body = {};
  std::vector<HttpHeader> headers = {};
};

/**
 * \brief Calls one server; safe to use from many threads at once.
 *
 * Each call opens a connection of its own. That costs more than a kept
 * connection, but the library beneath resends a request by itself when a kept
 * connection dies before its first reply byte, which would repeat a write.
 */
class HttpClient {
 public:
  explicit HttpClient(HttpEndpoint endpoint);

  [[nodiscard]] const HttpEndpoint& endpoint() const noexcept {
    return m_endpoint;
  }

  /**
   * \brief Makes a call and waits for its end.
   * \param call The call.
   * \return The reply. kUnavailable when there is no complete reply in time:
   * the server may or may not have acted. kTooLarge when the reply is above
   * kMaxJsonBytes.
   */
  [[nodiscard]] Result<HttpAnswer> Call(const HttpCall& call) const;

 private:
  HttpEndpoint m_endpoint;
};

/**
 * \brief Percent-encodes a path segment or query value.
 * \param text Any text.
 * \return The text with every reserved character encoded.
 */
[[nodiscard]] std::string PercentEncode(std::string_view text);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PLATFORM_HTTP_CLIENT_H_
