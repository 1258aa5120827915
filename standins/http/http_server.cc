// Adapts the ulfius library to the handlers of the stand-ins.
#include "http/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cctype>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>

namespace jacinthdeck::standins {

namespace {

constexpr int kBacklog = 1024;
constexpr std::size_t kThreadStackBytes = std::size_t{256} << 10U;
//! ConnectionTable ends the connections above the limit, so that they are
//! counted. The library's own limit is higher by this number, so that it does
//! not refuse them first.
constexpr std::size_t kLibraryConnectionSlack = 4096;

[[nodiscard]] std::uint16_t PortOf(const sockaddr* address) noexcept {
  return ntohs(std::bit_cast<const sockaddr_in*>(address)->sin_port);
}

[[nodiscard]] int Listen(std::uint16_t port) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int reuse = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(listener, std::bit_cast<sockaddr*>(&address), sizeof(address)) !=
          0 ||
      ::listen(listener, kBacklog) != 0) {
    ::close(listener);
    throw std::runtime_error("cannot listen on 127.0.0.1:" +
                             std::to_string(port));
  }
  return listener;
}

[[nodiscard]] std::uint16_t PortOf(int listener) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(listener, std::bit_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

[[nodiscard]] std::string LowerCase(const char* text) {
  std::string lower(text);
  for (char& c : lower) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return lower;
}

[[nodiscard]] HttpRequest ConvertRequest(const _u_request& request) {
  HttpRequest converted;
  converted.verb = request.http_verb;
  converted.path = request.http_url;
  converted.path.resize(
      std::min(converted.path.find('?'), converted.path.size()));
  // ulfius counts the terminating NUL in the lengths of keys and values, so the
  // lengths are not used.
  const _u_map& parameters = *request.map_url;
  for (int index = 0; index < parameters.nb_values; ++index) {
    converted.parameters[parameters.keys[index]] = parameters.values[index];
  }
  const _u_map& headers = *request.map_header;
  for (int index = 0; index < headers.nb_values; ++index) {
    converted.headers[LowerCase(headers.keys[index])] = headers.values[index];
  }
  if (request.binary_body_length > 0) {
    converted.body.assign(static_cast<const char*>(request.binary_body),
                          request.binary_body_length);
  }
  return converted;
}

}  // namespace

struct HttpServer::State {
  State(const HttpServerOptions& options, Handler handle)
      : handler(std::move(handle)), connections(options.max_connections) {}

  static int OnRequest(const _u_request* request,
                       _u_response* response,
                       void* state) {
    auto& self = *static_cast<State*>(state);
    const std::uint16_t client = PortOf(request->client_address);
    HttpRequest converted = ConvertRequest(*request);
    converted.first_on_connection = self.connections.BeginRequest(client);
    const HttpReply reply = self.handler(converted);
    self.connections.EndRequest(client);
    if (reply.drop_connection) {
      self.connections.Close(client);
      return U_CALLBACK_COMPLETE;
    }
    for (const auto& [name, value] : reply.headers) {
      ulfius_add_header_to_response(response, name.c_str(), value.c_str());
    }
    if (reply.body.empty()) {
      ulfius_set_empty_body_response(response, reply.status);
      return U_CALLBACK_COMPLETE;
    }
    ulfius_add_header_to_response(response, "Content-Type", "application/json");
    ulfius_set_binary_body_response(response, reply.status, reply.body.data(),
                                    reply.body.size());
    return U_CALLBACK_COMPLETE;
  }

  static void OnConnection(void* state,
                           MHD_Connection* connection,
                           void** /*context*/,
                           MHD_ConnectionNotificationCode code) {
    auto& self = *static_cast<State*>(state);
    const MHD_ConnectionInfo* client =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    const std::uint16_t port = PortOf(client->client_addr);
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
      self.connections.Remove(port);
      return;
    }
    const MHD_ConnectionInfo* socket =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    self.connections.Add(port, socket->connect_fd);
  }

  Handler handler;
  ConnectionTable connections;
  _u_instance instance{};
  std::uint16_t port = 0;
};

HttpServer::HttpServer(const HttpServerOptions& options, Handler handler)
    : m_state(std::make_unique<State>(options, std::move(handler))) {
  const int listener = Listen(options.port);
  m_state->port = PortOf(listener);
  _u_instance& instance = m_state->instance;
  ulfius_init_instance(&instance, m_state->port, nullptr, nullptr);
  instance.allowed_post_processor = U_POST_PROCESS_NONE;
  instance.max_post_body_size = options.max_body_bytes;
  ulfius_add_endpoint_by_val(&instance, "*", nullptr, "*", 0, &State::OnRequest,
                             m_state.get());
  const auto limit = static_cast<std::intptr_t>(options.max_connections +
                                                kLibraryConnectionSlack);
  std::array<MHD_OptionItem, 7> mhd_options{{
      {MHD_OPTION_NOTIFY_COMPLETED,
       std::bit_cast<std::intptr_t>(&mhd_request_completed), nullptr},
      {MHD_OPTION_URI_LOG_CALLBACK,
       std::bit_cast<std::intptr_t>(&ulfius_uri_logger), nullptr},
      {MHD_OPTION_NOTIFY_CONNECTION,
       std::bit_cast<std::intptr_t>(&State::OnConnection), m_state.get()},
      {MHD_OPTION_LISTEN_SOCKET, listener, nullptr},
      {MHD_OPTION_CONNECTION_LIMIT, limit, nullptr},
      {MHD_OPTION_THREAD_STACK_SIZE,
       static_cast<std::intptr_t>(kThreadStackBytes), nullptr},
      {MHD_OPTION_END, 0, nullptr},
  }};
  if (ulfius_start_framework_with_mhd_options(
          &instance,
          MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL_INTERNAL_THREAD,
          mhd_options.data()) != U_OK) {
    ulfius_clean_instance(&instance);
    ::close(listener);
    throw std::runtime_error("cannot serve on 127.0.0.1:" +
                             std::to_string(m_state->port));
  }
}

HttpServer::~HttpServer() {
  m_state->connections.CloseAll();
  ulfius_stop_framework(&m_state->instance);
  ulfius_clean_instance(&m_state->instance);
}

std::uint16_t HttpServer::port() const noexcept {
  return m_state->port;
}

ConnectionTable& HttpServer::connections() noexcept {
  return m_state->connections;
}

}  // namespace jacinthdeck::standins
