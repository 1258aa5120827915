// Reads and parses requests and writes responses on one server connection.
#include "jacinthdeck/http/edge_connection.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <utility>

#include "jacinthdeck/http/edge_server.h"
#include "jacinthdeck/http/header_text.h"
#include "jacinthdeck/http/hop_headers.h"
#include "jacinthdeck/http/status.h"

namespace jacinthdeck {

namespace {

namespace http = boost::beast::http;
using internal::AppendHeader;
using internal::ToStringView;

//! Maximum number of bytes per read of a request.
constexpr std::size_t kRequestReadBytes = 4096;
//! Bytes of pipelined requests from which a connection stops reading while a
//! request awaits its response. One read may go beyond it.
constexpr std::size_t kMaxPipelinedBytes =
    EdgeConnection::kFreeBytes - kRequestReadBytes;
//! Time within which the peer must close after the last response or the last
//! bytes that it has sent since.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
//! Time added to the header timeout once the header is complete: enough for a
//! body of the maximum size over a slow link. A body that was rejected is
//! discarded for as long.
constexpr Duration kBodyTimeout = std::chrono::seconds(15);

//! Seconds after which a caller may return whose request found no memory.
constexpr std::string_view kRetryAfterSeconds = "1";

constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

[[nodiscard]] int ParseErrorStatus(const SystemError& error) {
  if (error == http::error::header_limit) {
    return http_status::kHeaderTooLarge;
  }
  return error == http::error::body_limit ? http_status::kContentTooLarge
                                          : http_status::kBadRequest;
}

//! Returns how many bytes a request may have with all its framing. A chunk of
//! one byte takes six.
[[nodiscard]] std::uint64_t MaxReceivedBytes(const EdgeLimits& limits) {
  constexpr std::uint64_t kMaxFraming = 8;
  return 2 * std::uint64_t{limits.header_bytes} +
         kMaxFraming * limits.body_bytes + kRequestReadBytes;
}

[[nodiscard]] bool StatusAllowsBody(int status) {
  return status >= http_status::kOk && status != http_status::kNoContent &&
         status != http_status::kNotModified;
}

}  // namespace

EdgeConnection::EdgeConnection(EdgeServer& server, tcp::socket socket)
    : m_server(server),
      m_socket(std::move(socket)),
      m_held(server.m_memory.requests()),
      m_phase_started_at(server.m_clock.Now()),
      m_held_response(server.m_memory.responses()) {}

const std::string& EdgeConnection::peer_address() {
  if (m_peer_address.empty()) {
    SystemError error;
    const tcp::endpoint peer = m_socket.remote_endpoint(error);
    if (!error) {
      m_peer_address = peer.address().to_string();
    }
  }
  return m_peer_address;
}

void EdgeConnection::StartPhase(Phase phase) {
  m_phase = phase;
  m_phase_started_at = m_server.m_clock.Now();
  m_server.MoveToBack(m_position);
}

void EdgeConnection::Start(Position position) {
  m_position = position;
  Read();
}

void EdgeConnection::Read() {
  if (m_read_pending || m_phase == Phase::kClosed) {
    return;
  }
  m_read_pending = true;
  // Waiting for readability needs no buffer, so thousands of idle connections
  // use little memory.
  m_socket.async_wait(tcp::socket::wait_read,
                      [self = shared_from_this()](const SystemError& error) {
                        self->m_read_pending = false;
                        self->OnReadable(error);
                      });
}

void EdgeConnection::OnReadable(SystemError error) {
  if (m_phase == Phase::kClosed) {
    return;
  }
  std::size_t bytes = 0;
  const bool keeps_input =
      m_phase == Phase::kIdle || m_phase == Phase::kReading;
  if (!error && keeps_input && !HoldInput()) {
    RejectForMemory();
    return;
  }
  if (!error) {
    bytes = m_socket.read_some(m_read_buffer.prepare(kRequestReadBytes), error);
  }
  if (error == asio::error::would_block || error == asio::error::try_again) {
    Read();
    return;
  }
  if (error) {
    Abandon();
    return;
  }
  m_read_buffer.commit(bytes);
  m_received_bytes += bytes;
  if (m_phase == Phase::kLingering) {
    m_read_buffer.consume(m_read_buffer.size());
    m_last_discarded_at = m_server.m_clock.Now();
    Read();
    return;
  }
  if (m_phase == Phase::kAwaitingResponse || m_phase == Phase::kWriting) {
    if (m_read_buffer.size() < kMaxPipelinedBytes) {
      Read();
    }
    return;
  }
  Parse();
}

void EdgeConnection::Parse() {
  if (m_phase == Phase::kClosed) {
    return;
  }
  if (m_phase == Phase::kIdle && m_read_buffer.size() > 0) {
    BeginRequest();
  }
  while (m_phase == Phase::kReading && m_read_buffer.size() > 0) {
    SystemError error;
    const std::size_t used = m_parser->put(m_read_buffer.data(), error);
    m_read_buffer.consume(used);
    if (error && error != http::error::need_more) {
      Reject(ParseErrorStatus(error));
      return;
    }
    if (!m_header_complete && m_parser->is_header_done() &&
        !OnHeaderComplete()) {
      return;
    }
    if (m_parser->is_done()) {
      OnRequestComplete();
      return;
    }
    if (error == http::error::need_more || used == 0) {
      break;
    }
  }
  // The parser bounds the header, but not a chunk's head or the trailers, and
  // the bytes of a body, but not those between its chunks.
  if (m_read_buffer.size() >
      m_server.m_limits.header_bytes + kRequestReadBytes) {
    Reject(http_status::kHeaderTooLarge);
    return;
  }
  if (m_received_bytes > MaxReceivedBytes(m_server.m_limits)) {
    Reject(http_status::kContentTooLarge);
    return;
  }
  Read();
}

void EdgeConnection::BeginRequest() {
  StartPhase(Phase::kReading);
  m_header_complete = false;
  m_header_bytes = 0;
  m_received_bytes = m_read_buffer.size();
  m_parser.emplace();
  m_parser->header_limit(m_server.m_limits.header_bytes);
  m_parser->body_limit(m_server.m_limits.body_bytes);
}

bool EdgeConnection::OnHeaderComplete() {
  m_header_complete = true;
  const auto& message = m_parser->get();
  // The parser takes a coding other than "chunked" for a request without a
  // body, whose bytes would then be read as further requests.
  const auto [first, last] =
      message.equal_range(http::field::transfer_encoding);
  const auto target = ToStringView(message.target());
  if (std::any_of(first, last,
                  [](const auto& field) {
                    return !HeaderNamesEqual(ToStringView(field.value()),
                                             "chunked");
                  }) ||
      message.count(http::field::host) != 1 || target.empty() ||
      target.front() != '/') {
    Reject(http_status::kBadRequest);
    return false;
  }
  m_keep_alive = message.keep_alive();
  m_is_head_request = message.method() == http::verb::head;
  const auto expect = message[http::field::expect];
  if (!expect.empty() && !m_parser->is_done()) {
    if (!HeaderNamesEqual(ToStringView(expect), "100-continue")) {
      Reject(http_status::kExpectationFailed);
      return false;
    }
    SystemError ignored;
    (void)m_socket.write_some(asio::buffer(kContinueResponse), ignored);
  }
  CopyHeaders();
  m_header_bytes = m_request.bytes();
  if (!HoldInput()) {
    RejectForMemory();
    return false;
  }
  return true;
}

bool EdgeConnection::HoldInput() {
  const std::size_t bytes = m_read_buffer.size() + kRequestReadBytes +
                            m_header_bytes +
                            (m_parser ? m_parser->get().body().size() : 0);
  return bytes <= kFreeBytes || m_server.HoldInput(*this, m_held, bytes);
}

void EdgeConnection::DropInput() {
  m_parser.reset();
  (void)std::exchange(m_request, EdgeRequest());
  m_header_bytes = 0;
  m_read_buffer.consume(m_read_buffer.size());
  m_read_buffer.shrink_to_fit();
  m_held.Clear();
}

void EdgeConnection::CopyHeaders() {
  auto& message = m_parser->get();
  m_request = EdgeRequest();
  m_request.method = ToStringView(message.method_string());
  m_request.target = ToStringView(message.target());
  m_request.host = ToStringView(message[http::field::host]);
  m_request.has_body =
      message.find(http::field::content_length) != message.end() ||
      message.find(http::field::transfer_encoding) != message.end();
  const HopByHopHeaders hop_by_hop(
      ToStringView(message[http::field::connection]));
  for (const auto& field : message) {
    const bool framing = field.name() == http::field::host ||
                         field.name() == http::field::content_length ||
                         field.name() == http::field::expect;
    if (!framing && !hop_by_hop.Contains(ToStringView(field.name_string()))) {
      m_request.headers.push_back(
          {std::string(ToStringView(field.name_string())),
           std::string(ToStringView(field.value()))});
    }
  }
  message.clear();
}

void EdgeConnection::OnRequestComplete() {
  EdgeRequest request = std::move(m_request);
  request.body = std::move(m_parser->get().body());
  m_parser.reset();
  const std::size_t bytes = m_header_bytes + request.body.size();
  m_header_bytes = 0;
  if (bytes > kFreeBytes && m_held.TryResize(bytes)) {
    request.held = std::make_shared<const HeldBytes>(
        std::exchange(m_held, HeldBytes(m_server.m_memory.requests())));
  } else {
    m_held.Clear();
  }
  StartPhase(Phase::kAwaitingResponse);
  ++m_server.m_counters.requests;
  Read();
  m_server.m_handler.OnRequest(shared_from_this(), std::move(request),
                               m_phase_started_at);
}

void EdgeConnection::Reject(int status, std::string_view retry_after) {
  ++m_server.m_counters.rejected;
  DropInput();
  m_keep_alive = false;
  m_is_head_request = false;
  m_phase = Phase::kAwaitingResponse;
  EdgeResponse response;
  response.status = status;
  if (!retry_after.empty()) {
    response.headers.push_back({"Retry-After", std::string(retry_after)});
  }
  Respond(std::move(response));
}

void EdgeConnection::Respond(EdgeResponse response) {
  if (m_phase != Phase::kAwaitingResponse) {
    return;
  }
  StartPhase(Phase::kWriting);
  // A request that has arrived behind this one is answered first.
  const bool close = !m_keep_alive || (m_server.draining() && !HasInput());
  if (response.reason.empty()) {
    response.reason = ToStringView(
        http::obsolete_reason(static_cast<http::status>(response.status)));
  }
  m_response_head.clear();
  m_response_head += "HTTP/1.1 ";
  m_response_head += std::to_string(response.status);
  m_response_head += ' ';
  m_response_head += response.reason;
  m_response_head += "\r\n";
  for (const Header& header : response.headers) {
    AppendHeader(m_response_head, header.name, header.value);
  }
  if (StatusAllowsBody(response.status) && !m_is_head_request) {
    AppendHeader(m_response_head, "Content-Length",
                 std::to_string(response.body.size()));
  }
  if (close) {
    AppendHeader(m_response_head, "Connection", "close");
  }
  m_response_head += "\r\n";
  if (StatusAllowsBody(response.status) && !m_is_head_request) {
    m_response_body = std::move(response.body);
  }
  Write(close);
}

void EdgeConnection::Write(bool close) {
  m_close_after_write = close;
  SystemError error;
  const std::array<asio::const_buffer, 2> whole{asio::buffer(m_response_head),
                                                asio::buffer(m_response_body)};
  const std::size_t written = m_socket.write_some(whole, error);
  const std::size_t size = m_response_head.size() + m_response_body.size();
  if (!error && written == size) {
    OnWritten(error);
    return;
  }
  if (error && error != asio::error::would_block &&
      error != asio::error::try_again) {
    Close();
    return;
  }
  if (size > kFreeBytes &&
      !m_server.HoldResponse(*this, m_held_response, size)) {
    Close();
    return;
  }
  const std::size_t done = error ? 0 : written;
  const std::size_t head_done = std::min(done, m_response_head.size());
  const std::array<asio::const_buffer, 2> rest{whole[0] + head_done,
                                               whole[1] + (done - head_done)};
  asio::async_write(
      m_socket, rest,
      [self = shared_from_this()](const SystemError& ended, std::size_t) {
        self->OnWritten(ended);
      });
}

void EdgeConnection::OnWritten(const SystemError& error) {
  DropResponse();
  if (m_phase != Phase::kWriting) {
    return;
  }
  if (error) {
    Close();
    return;
  }
  if (m_close_after_write) {
    Linger();
    return;
  }
  StartPhase(Phase::kIdle);
  if (m_read_buffer.size() == 0) {
    if (m_read_buffer.capacity() > kRequestReadBytes) {
      m_read_buffer.shrink_to_fit();
    }
    Read();
    return;
  }
  // Parse() is posted instead of called: each pipelined request would otherwise
  // add a level of recursion.
  asio::post(m_socket.get_executor(),
             [self = shared_from_this()] { self->Parse(); });
}

void EdgeConnection::DropResponse() {
  // Assigning an empty string would keep the memory.
  std::string().swap(m_response_body);
  if (m_response_head.capacity() > kRequestReadBytes) {
    std::string().swap(m_response_head);
  }
  m_held_response.Clear();
}

void EdgeConnection::Linger() {
  StartPhase(Phase::kLingering);
  m_last_discarded_at = m_phase_started_at;
  DropInput();
  SystemError ignored;
  m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  Read();
}

void EdgeConnection::Close() {
  if (m_phase == Phase::kClosed) {
    return;
  }
  m_phase = Phase::kClosed;
  m_held.Clear();
  m_held_response.Clear();
  SystemError ignored;
  m_socket.close(ignored);
  m_server.RemoveConnection(*this);
}

bool EdgeConnection::HasInput() const {
  SystemError ignored;
  return m_read_buffer.size() > 0 || m_socket.available(ignored) > 0;
}

bool EdgeConnection::HasPeerClosed() {
  pollfd state{m_socket.native_handle(), POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0;
}

void EdgeConnection::Abandon() {
  if (m_phase == Phase::kAwaitingResponse) {
    m_server.m_handler.OnDisconnect(*this);
  }
  Close();
}

void EdgeConnection::CloseIfIdle() {
  if (m_phase == Phase::kIdle && !HasInput()) {
    Close();
  }
}

void EdgeConnection::RejectForMemory() {
  if (m_phase == Phase::kReading) {
    Reject(http_status::kUnavailable, kRetryAfterSeconds);
  }
}

void EdgeConnection::RejectIncomplete() {
  if (m_phase == Phase::kReading) {
    Reject(http_status::kUnavailable);
  }
}

void EdgeConnection::ApplyTimeout(TimePoint now) {
  const EdgeLimits& limits = m_server.limits();
  const Duration time_in_phase = now - m_phase_started_at;
  switch (m_phase) {
    case Phase::kIdle:
      if (time_in_phase > limits.idle_timeout) {
        CloseIfIdle();
      }
      break;
    case Phase::kReading:
      if (time_in_phase > limits.header_timeout +
                              (m_header_complete ? kBodyTimeout : Duration{})) {
        Reject(http_status::kRequestTimeout);
      }
      break;
    case Phase::kWriting:
      if (time_in_phase > kWriteTimeout) {
        Close();
      }
      break;
    case Phase::kLingering:
      if (now - m_last_discarded_at > kLingerTimeout ||
          time_in_phase > kBodyTimeout) {
        Close();
      }
      break;
    case Phase::kAwaitingResponse:
      // An outstanding read notices the peer leave, but there is none once
      // kMaxPipelinedBytes have arrived.
      if (!m_read_pending && HasPeerClosed()) {
        Abandon();
      }
      break;
    case Phase::kClosed:
      break;
  }
}

}  // namespace jacinthdeck
