// HTTP calls by ulfius, with bounded replies.
#include "jacinthdeck/platform/http_client.h"

#include <arpa/inet.h>
#include <ulfius.h>

#include <charconv>
#include <chrono>
#include <cstddef>
#include <memory>
#include <system_error>
#include <utility>

#include "jacinthdeck/core/json.h"

namespace jacinthdeck {

namespace {

/*! \brief Prepares the client library once in the process. */
class ClientLibrary {
 public:
  ClientLibrary() { ulfius_global_init(); }
};

/*! \brief Body of a reply as it arrives. */
struct BodyCollector {
  std::string body;
  bool too_large = false;
};

size_t CollectBody(void* contents, size_t size, size_t count, void* collector) {
  auto& into = *static_cast<BodyCollector*>(collector);
  const size_t bytes = size * count;
  if (into.body.size() + bytes > kMaxJsonBytes) {
    // A short return ends the transfer: a peer that sends without end must not
    // fill the memory of this process.
    into.too_large = true;
    return 0;
  }
  into.body.append(static_cast<const char*>(contents), bytes);
  return bytes;
}

/*! \brief Request and response of the library, cleaned on every way out. */
class Exchange {
 public:
  Exchange() {
    ulfius_init_request(&m_request);
    ulfius_init_response(&m_response);
  }
  ~Exchange() {
    ulfius_clean_request(&m_request);
    ulfius_clean_response(&m_response);
  }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  [[nodiscard]] _u_request& request() noexcept { return m_request; }
  [[nodiscard]] _u_response& response() noexcept { return m_response; }

 private:
  _u_request m_request{};
  _u_response m_response{};
};

}  // namespace

std::string HttpEndpoint::ToString() const {
  return address + ":" + std::to_string(port);
}

Result<HttpEndpoint> HttpEndpoint::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  HttpEndpoint endpoint;
  if (colon != text.npos) {
    endpoint.address = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] =
        std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    in_addr binary{};
    if (error == std::errc() && end == port.data() + port.size() &&
        endpoint.port != 0 &&
        inet_pton(AF_INET, endpoint.address.c_str(), &binary) == 1) {
      return endpoint;
    }
  }
  return Fail(ErrorCode::kInvalidArgument, std::string(text),
              "is no address, expected IP-NUMBER:PORT");
}

HttpClient::HttpClient(HttpEndpoint endpoint)
    : m_endpoint(std::move(endpoint)) {
  static const ClientLibrary library;
  static_cast<void>(library);
}

Result<HttpAnswer> HttpClient::Call(const HttpCall& call) const {
  Exchange exchange;
  const std::string url = "http://" + m_endpoint.ToString() + call.path;
  const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(call.timeout).count();
  ulfius_set_request_properties(
      &exchange.request(), U_OPT_HTTP_VERB, call.verb.c_str(), U_OPT_HTTP_URL,
      url.c_str(), U_OPT_TIMEOUT, static_cast<unsigned long>(seconds),
      U_OPT_FOLLOW_REDIRECT, 0, U_OPT_NONE);
  for (const HttpHeader& header : call.headers) {
    u_map_put(exchange.request().map_header, header.name.c_str(),
              header.value.c_str());
  }
  if (!call.body.empty()) {
    ulfius_set_binary_body_request(&exchange.request(), call.body.data(),
                                   call.body.size());
  }
  BodyCollector collector;
  const int status = ulfius_send_http_streaming_request(
      &exchange.request(), &exchange.response(), &CollectBody, &collector);
  if (collector.too_large) {
    return Fail(ErrorCode::kTooLarge, m_endpoint.ToString() + call.path,
                "reply is above " + std::to_string(kMaxJsonBytes) + " bytes");
  }
  if (status != U_OK) {
    return Fail(
        ErrorCode::kUnavailable, m_endpoint.ToString() + call.path,
        "no complete reply; waited at most " + std::to_string(seconds) + " s");
  }
  return HttpAnswer{exchange.response().status, std::move(collector.body)};
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr std::string_view kUnreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  std::string encoded;
  for (const char c : text) {
    if (kUnreserved.find(c) != kUnreserved.npos) {
      encoded += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded += '%';
    encoded += kDigits[byte / kDigits.size()];
    encoded += kDigits[byte % kDigits.size()];
  }
  return encoded;
}

}  // namespace jacinthdeck
