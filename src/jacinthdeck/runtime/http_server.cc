// HTTP server over ulfius with the bounds that callers meet.
#include "jacinthdeck/runtime/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <exception>
#include <string>
#include <utility>

#include <ulfius.h>

namespace jacinthdeck {

struct HttpServer::State {
  _u_instance instance{};
  HttpServerOptions options;
  HttpHandler handler;
  std::uint16_t port = 0;
  bool started = false;
  bool listening = true;

  State() = default;
  State(const State&) = delete;
  State& operator=(const State&) = delete;
  ~State() {
    if (started) {
      ulfius_stop_framework(&instance);
    }
    ulfius_clean_instance(&instance);
  }
};

namespace {

constexpr int kBacklog = 512;

//! Binds a port of its own, since ulfius takes no port 0 and so could not let
//! the kernel pick one.
class ListenSocket {
 public:
  ListenSocket() = default;
  ListenSocket(const ListenSocket&) = delete;
  ListenSocket& operator=(const ListenSocket&) = delete;
  ~ListenSocket() {
    if (m_descriptor >= 0) {
      close(m_descriptor);
    }
  }

  [[nodiscard]] bool Open(const Endpoint& endpoint) {
    m_descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    (void)setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    m_address.sin_family = AF_INET;
    m_address.sin_port = htons(endpoint.port);
    if (inet_pton(AF_INET, endpoint.address.c_str(), &m_address.sin_addr) !=
        1) {
      return false;
    }
    auto* generic = reinterpret_cast<sockaddr*>(&m_address);
    socklen_t size = sizeof(m_address);
    return m_descriptor >= 0 && bind(m_descriptor, generic, size) == 0 &&
           listen(m_descriptor, kBacklog) == 0 &&
           getsockname(m_descriptor, generic, &size) == 0;
  }

  [[nodiscard]] std::uint16_t port() const noexcept {
    return ntohs(m_address.sin_port);
  }
  [[nodiscard]] sockaddr_in* address() noexcept { return &m_address; }
  [[nodiscard]] int descriptor() const noexcept { return m_descriptor; }
  [[nodiscard]] int Release() noexcept {
    return std::exchange(m_descriptor, -1);
  }

 private:
  int m_descriptor = -1;
  sockaddr_in m_address{};
};

[[nodiscard]] HttpRequest ReadRequest(const _u_request& request) {
  std::string_view path = request.url_path == nullptr ? "/" : request.url_path;
  path = path.substr(0, path.find('?'));
  return HttpRequest{
      request.http_verb, path,
      std::string(static_cast<const char*>(request.binary_body),
                  request.binary_body_length),
      [&request](const char* name) -> std::string_view {
        const char* value = u_map_get_case(request.map_header, name);
        return value == nullptr ? std::string_view() : std::string_view(value);
      }};
}

void WriteReply(const HttpReply& reply, _u_response& response) {
  ulfius_set_binary_body_response(&response, reply.status, reply.body.data(),
                                  reply.body.size());
  u_map_put(response.map_header, "Content-Type", reply.content_type.c_str());
  if (reply.retry_after) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*reply.retry_after);
    u_map_put(response.map_header, "Retry-After",
              std::to_string(seconds.count()).c_str());
  }
}

[[nodiscard]] HttpReply TooLarge(std::size_t limit) {
  return HttpReply{
      413,
      R"({"error":{"code":"too_large","field":"body","message":"expected at most )" +
          std::to_string(limit) + R"( bytes"},"ran":"no"})",
      "application/json", std::nullopt};
}

int Dispatch(const _u_request* request,
             _u_response* response,
             void* user_data) {
  const auto* state = static_cast<const HttpServer::State*>(user_data);
  // ulfius cuts a body at the limit it is given, so that one byte above ours
  // tells a longer one.
  if (request->binary_body_length > state->options.body_bytes) {
    WriteReply(TooLarge(state->options.body_bytes), *response);
  } else {
    WriteReply(state->handler(ReadRequest(*request)), *response);
  }
  return U_CALLBACK_COMPLETE;
}

[[nodiscard]] bool StartFramework(HttpServer::State& state,
                                  ListenSocket& socket) {
  const auto word = [](auto* function) {
    return reinterpret_cast<std::intptr_t>(function);
  };
  std::array<MHD_OptionItem, 8> options{{
      {MHD_OPTION_NOTIFY_COMPLETED, word(&mhd_request_completed), nullptr},
      {MHD_OPTION_URI_LOG_CALLBACK, word(&ulfius_uri_logger), nullptr},
      {MHD_OPTION_LISTEN_SOCKET, socket.descriptor(), nullptr},
      {MHD_OPTION_CONNECTION_LIMIT,
       static_cast<std::intptr_t>(state.options.connections), nullptr},
      {MHD_OPTION_CONNECTION_TIMEOUT,
       static_cast<std::intptr_t>(state.options.idle_seconds), nullptr},
      {MHD_OPTION_CONNECTION_MEMORY_LIMIT,
       static_cast<std::intptr_t>(state.options.header_bytes), nullptr},
      {MHD_OPTION_END, 0, nullptr},
      {MHD_OPTION_END, 0, nullptr},
  }};
  const unsigned flags = MHD_USE_THREAD_PER_CONNECTION |
                         MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
                         MHD_USE_ITC;
  return ulfius_start_framework_with_mhd_options(&state.instance, flags,
                                                 options.data()) == U_OK;
}

}  // namespace

HttpServer::HttpServer(std::unique_ptr<State> state) noexcept
    : m_state(std::move(state)) {}
HttpServer::HttpServer(HttpServer&&) noexcept = default;
HttpServer& HttpServer::operator=(HttpServer&&) noexcept = default;
HttpServer::~HttpServer() = default;

Result<HttpServer> HttpServer::Start(const Endpoint& endpoint,
                                     const HttpServerOptions& options,
                                     HttpHandler handler) {
  const std::string name =
      endpoint.address + ":" + std::to_string(endpoint.port);
  ListenSocket socket;
  if (!socket.Open(endpoint)) {
    return Fail(ErrorCode::kUnavailable, name,
                std::string("cannot listen: ") + strerror(errno));
  }
  auto state = std::make_unique<State>();
  state->options = options;
  state->handler = std::move(handler);
  state->port = socket.port();
  if (ulfius_init_instance(&state->instance, state->port, socket.address(),
                           nullptr) != U_OK) {
    return Fail(ErrorCode::kInternal, name, "ulfius refused the instance");
  }
  state->instance.max_post_body_size = options.body_bytes + 1;
  state->instance.allowed_post_processor = U_POST_PROCESS_NONE;
  ulfius_set_default_endpoint(&state->instance, &Dispatch, state.get());
  if (!StartFramework(*state, socket)) {
    return Fail(ErrorCode::kUnavailable, name, "ulfius did not start");
  }
  state->started = true;
  (void)socket.Release();
  return HttpServer(std::move(state));
}

std::uint16_t HttpServer::port() const noexcept {
  return m_state->port;
}

void HttpServer::StopListening() noexcept {
  if (std::exchange(m_state->listening, false)) {
    const MHD_socket listener =
        MHD_quiesce_daemon(m_state->instance.mhd_daemon);
    if (listener >= 0) {
      close(listener);
    }
  }
}

}  // namespace jacinthdeck
