// Reading, parsing and writing of one connection.
#include "jacinthdeck/http/edge_connection.h"

#include <algorithm>
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
using internal::View;

//! Bytes asked for in one read.
constexpr std::size_t kReadSize = 4096;
//! Bytes of later requests that are taken in while one is being answered;
//! beyond this the peer has to wait.
constexpr std::size_t kMostAhead = 65536;
//! Time for a peer to take a response off the connection.
constexpr Duration kWriteTimeout = std::chrono::seconds(10);
//! Time for a peer to close after the last response.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
//! Time for the body after its header; a body at the limit over a slow link.
constexpr Duration kBodyTimeout = std::chrono::seconds(15);

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

[[nodiscard]] int StatusOf(const SystemError& error) {
  if (error == http::error::header_limit) {
    return http_status::kHeaderTooLarge;
  }
  return error == http::error::body_limit ? http_status::kContentTooLarge
                                          : http_status::kBadRequest;
}

[[nodiscard]] bool HasBody(int status) {
  return status >= http_status::kOk && status != http_status::kNoContent &&
         status != http_status::kNotModified;
}

}  // namespace

EdgeConnection::EdgeConnection(EdgeServer& server,
                               tcp::socket socket,
                               std::uint64_t id)
    : m_server(server),
      m_socket(std::move(socket)),
      m_id(id),
      m_since(server.m_clock.Now()) {}

void EdgeConnection::Start() {
  Read();
}

void EdgeConnection::Read() {
  if (m_read_pending || m_phase == Phase::kClosed) {
    return;
  }
  m_read_pending = true;
  // Waiting needs no buffer, so that thousands of idle connections cost little.
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
  if (!error) {
    bytes = m_socket.read_some(m_buffer.prepare(kReadSize), error);
  }
  if (error == asio::error::would_block || error == asio::error::try_again) {
    Read();
    return;
  }
  if (error) {
    if (m_phase == Phase::kAnswering) {
      m_server.m_handler.OnLeft(*this);
    }
    Close();
    return;
  }
  m_buffer.commit(bytes);
  if (m_phase == Phase::kLingering) {
    m_buffer.consume(m_buffer.size());
    Read();
    return;
  }
  if (m_phase == Phase::kAnswering || m_phase == Phase::kWriting) {
    if (m_buffer.size() < kMostAhead) {
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
  if (m_phase == Phase::kIdle && m_buffer.size() > 0) {
    BeginRequest();
  }
  while (m_phase == Phase::kReading && m_buffer.size() > 0) {
    SystemError error;
    const std::size_t used = m_parser->put(m_buffer.data(), error);
    m_buffer.consume(used);
    if (error && error != http::error::need_more) {
      Reject(StatusOf(error));
      return;
    }
    if (!m_header_in && m_parser->is_header_done() && !TakeHeader()) {
      return;
    }
    if (m_parser->is_done()) {
      TakeRequest();
      return;
    }
    if (error == http::error::need_more || used == 0) {
      break;
    }
  }
  Read();
}

void EdgeConnection::BeginRequest() {
  m_phase = Phase::kReading;
  m_since = m_server.m_clock.Now();
  m_header_in = false;
  m_parser.emplace();
  m_parser->header_limit(m_server.m_limits.header_bytes);
  m_parser->body_limit(m_server.m_limits.body_bytes);
}

bool EdgeConnection::TakeHeader() {
  m_header_in = true;
  const auto& message = m_parser->get();
  const auto expect = message[http::field::expect];
  if (expect.empty() || m_parser->is_done()) {
    return true;
  }
  if (!SameName(View(expect), "100-continue")) {
    Reject(http_status::kExpectationFailed);
    return false;
  }
  SystemError ignored;
  (void)m_socket.write_some(asio::buffer(kContinue), ignored);
  return true;
}

void EdgeConnection::TakeRequest() {
  auto message = m_parser->release();
  m_keep_alive = message.keep_alive();
  m_head = message.method() == http::verb::head;
  const auto hosts = message.count(http::field::host);
  const auto target = View(message.target());
  if (hosts != 1 || target.empty() || target.front() != '/') {
    Reject(http_status::kBadRequest);
    return;
  }
  EdgeRequest request;
  request.method = View(message.method_string());
  request.target = target;
  request.host = View(message[http::field::host]);
  request.has_body =
      message.find(http::field::content_length) != message.end() ||
      message.find(http::field::transfer_encoding) != message.end();
  const std::string connection(View(message[http::field::connection]));
  for (const auto& field : message) {
    const bool framing = field.name() == http::field::host ||
                         field.name() == http::field::content_length ||
                         field.name() == http::field::expect;
    if (!framing && !IsHopHeader(View(field.name_string()), connection)) {
      request.headers.push_back({std::string(View(field.name_string())),
                                 std::string(View(field.value()))});
    }
  }
  request.body = std::move(message.body());
  m_phase = Phase::kAnswering;
  m_since = m_server.m_clock.Now();
  ++m_server.m_counters.requests;
  Read();
  m_server.m_handler.OnRequest(shared_from_this(), std::move(request), m_since);
}

void EdgeConnection::Reject(int status) {
  ++m_server.m_counters.rejected;
  m_keep_alive = false;
  m_head = false;
  m_phase = Phase::kAnswering;
  EdgeResponse response;
  response.status = status;
  Respond(std::move(response));
}

void EdgeConnection::Respond(EdgeResponse response) {
  if (m_phase != Phase::kAnswering) {
    return;
  }
  m_phase = Phase::kWriting;
  m_since = m_server.m_clock.Now();
  const bool close = !m_keep_alive || m_server.draining();
  if (response.reason.empty()) {
    response.reason =
        View(http::obsolete_reason(static_cast<http::status>(response.status)));
  }
  m_out.clear();
  m_out.reserve(response.body.size() + 512);
  m_out += "HTTP/1.1 ";
  m_out += std::to_string(response.status);
  m_out += ' ';
  m_out += response.reason;
  m_out += "\r\n";
  for (const Header& header : response.headers) {
    AppendHeader(m_out, header.name, header.value);
  }
  if (HasBody(response.status) && !m_head) {
    AppendHeader(m_out, "Content-Length", std::to_string(response.body.size()));
  }
  if (close) {
    AppendHeader(m_out, "Connection", "close");
  }
  m_out += "\r\n";
  if (HasBody(response.status) && !m_head) {
    m_out += response.body;
  }
  Write(close);
}

void EdgeConnection::Write(bool close) {
  m_close_after_write = close;
  SystemError error;
  const std::size_t written = m_socket.write_some(asio::buffer(m_out), error);
  if (!error && written == m_out.size()) {
    OnWritten(error);
    return;
  }
  if (error && error != asio::error::would_block &&
      error != asio::error::try_again) {
    Close();
    return;
  }
  const std::size_t done = error ? 0 : written;
  asio::async_write(
      m_socket, asio::buffer(m_out) + done,
      [self = shared_from_this()](const SystemError& ended, std::size_t) {
        self->OnWritten(ended);
      });
}

void EdgeConnection::OnWritten(const SystemError& error) {
  if (m_phase != Phase::kWriting) {
    return;
  }
  if (error) {
    Close();
    return;
  }
  m_since = m_server.m_clock.Now();
  if (m_close_after_write) {
    Linger();
    return;
  }
  m_phase = Phase::kIdle;
  if (m_buffer.size() == 0) {
    Read();
    return;
  }
  // Not from here: requests that a caller sent ahead would nest.
  asio::post(m_socket.get_executor(),
             [self = shared_from_this()] { self->Parse(); });
}

void EdgeConnection::Linger() {
  m_phase = Phase::kLingering;
  m_buffer.consume(m_buffer.size());
  SystemError ignored;
  m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  Read();
}

void EdgeConnection::Close() {
  if (m_phase == Phase::kClosed) {
    return;
  }
  m_phase = Phase::kClosed;
  SystemError ignored;
  m_socket.close(ignored);
  m_server.Forget(*this);
}

void EdgeConnection::CloseIfIdle() {
  if (m_phase == Phase::kIdle && m_buffer.size() == 0) {
    Close();
  }
}

void EdgeConnection::CheckTime(TimePoint now) {
  const EdgeLimits& limits = m_server.limits();
  const Duration spent = now - m_since;
  switch (m_phase) {
    case Phase::kIdle:
      if (spent > limits.idle_timeout) {
        Close();
      }
      break;
    case Phase::kReading:
      if (spent >
          limits.header_timeout + (m_header_in ? kBodyTimeout : Duration{})) {
        Reject(http_status::kRequestTimeout);
      }
      break;
    case Phase::kWriting:
      if (spent > kWriteTimeout) {
        Close();
      }
      break;
    case Phase::kLingering:
      if (spent > kLingerTimeout) {
        Close();
      }
      break;
    case Phase::kAnswering:
    case Phase::kClosed:
      break;
  }
}

}  // namespace jacinthdeck
