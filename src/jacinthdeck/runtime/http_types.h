// Requests and replies of the HTTP servers, apart from the library beneath.
#ifndef JACINTHDECK_RUNTIME_HTTP_TYPES_H_
#define JACINTHDECK_RUNTIME_HTTP_TYPES_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jacinthdeck {

/*! \brief One request as a handler sees it; valid while the handler runs. */
struct HttpRequest {
  std::string_view method;
  //! Path without the query string.
  std::string_view path;
  std::string body;
  //! Value of a header, empty where it is absent.
  std::function<std::string_view(const char* name)> header;
};

/*! \brief One reply. */
struct HttpReply {
  unsigned status = 200;
  std::string body;
  std::string content_type = "application/json";
  //! Sent as Retry-After, rounded up to whole seconds.
  std::optional<std::chrono::microseconds> retry_after;
};

/*! \brief Handles one request; runs on a thread of its connection and may wait.
 */
using HttpHandler = std::function<HttpReply(const HttpRequest&)>;

/*! \brief Parts of a path between slashes, without empty ones. */
[[nodiscard]] std::vector<std::string> SplitPath(std::string_view path);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_HTTP_TYPES_H_
