// Writes each call as HTTP/1.1 and reads its response with Boost.Beast.
#include "jacinthdeck/http/client_session.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <utility>

#include "jacinthdeck/http/socket_options.h"
#include "jacinthdeck/http/status.h"

namespace jacinthdeck {

namespace {

namespace http = boost::beast::http;

//! Limit on the body of a response; a response may hold a page of store
//! entries.
constexpr std::uint64_t kMaxBodyBytes = 16ULL << 20U;

//! Limit on bytes that are read and not parsed yet. The parser takes a body
//! piece by piece, but the extension of a chunk and the trailers as a whole.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{64} << 10U;

}  // namespace

const std::string* ClientReply::FindHeader(std::string_view name) const {
  const auto found = std::ranges::find_if(headers, [&](const Header& header) {
    return boost::beast::iequals(header.name, name);
  });
  return found == headers.end() ? nullptr : &found->value;
}

/**
 * What the operations on one connection use. A handler that is already queued
 * is not cancelled by closing the socket; it shares this object, so that it can
 * touch neither a later connection nor freed memory.
 */
struct ClientSession::Connection {
  using Parser = http::response_parser<http::string_body>;

  explicit Connection(asio::io_context& loop) : socket(loop) {}

  tcp::socket socket;
  boost::beast::flat_buffer read_buffer{kMaxUnparsedBytes};
  std::optional<Parser> parser;
  std::string write_buffer;
  bool write_started = false;
  bool read_started = false;
  bool closed = false;
};

ClientSession::ClientSession(asio::io_context& loop,
                             const std::string& address,
                             std::uint16_t port)
    : m_loop(loop), m_address(address), m_port(port), m_timer(loop) {}

ClientSession::~ClientSession() {
  CloseConnection();
}

void ClientSession::Call(const ClientRequest& request,
                         Duration timeout,
                         Callback callback) {
  if (busy()) {
    Abort();
  }
  m_callback = std::move(callback);
  const bool reused = m_connection != nullptr;
  if (!reused) {
    m_connection = std::make_shared<Connection>(m_loop);
  }
  m_connection->write_started = false;
  m_connection->read_started = false;
  std::string& text = m_connection->write_buffer;
  text = request.method + " " + request.target +
         " HTTP/1.1\r\nHost: " + m_address + "\r\n";
  for (const Header& header : request.headers) {
    text += header.name + ": " + header.value + "\r\n";
  }
  if (!request.body.empty()) {
    text += "Content-Type: application/json\r\n";
  }
  if (request.method != "GET") {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  text += "\r\n" + request.body;
  m_timer.Start(timeout, [this] { OnTimeout(); });
  if (reused) {
    Write();
  } else {
    Open();
  }
}

void ClientSession::Abort() {
  m_callback = nullptr;
  m_timer.Cancel();
  CloseConnection();
}

void ClientSession::Open() {
  SystemError error;
  const auto address = asio::ip::make_address_v4(m_address, error);
  m_connection->socket.async_connect(
      tcp::endpoint(address, m_port),
      [this, connection = m_connection](const SystemError& ended) {
        if (connection->closed) {
          return;
        }
        if (ended) {
          FailCall("cannot connect: " + ended.message(), true);
          return;
        }
        SetStreamOptions(connection->socket);
        Write();
      });
}

void ClientSession::Write() {
  m_connection->write_started = true;
  asio::async_write(
      m_connection->socket, asio::buffer(m_connection->write_buffer),
      [this, connection = m_connection](const SystemError& ended, std::size_t) {
        if (connection->closed) {
          return;
        }
        if (ended) {
          FailCall("cannot send: " + ended.message(), false);
          return;
        }
        Read();
      });
}

void ClientSession::Read() {
  m_connection->read_started = true;
  auto& parser = m_connection->parser.emplace();
  parser.body_limit(kMaxBodyBytes);
  http::async_read(
      m_connection->socket, m_connection->read_buffer, parser,
      [this, connection = m_connection](const SystemError& ended, std::size_t) {
        if (!connection->closed) {
          OnRead(ended);
        }
      });
}

void ClientSession::OnRead(const SystemError& ended) {
  if (ended) {
    FailCall("no reply: " + ended.message(), false, IsBodyIncomplete(ended));
    return;
  }
  auto& parser = *m_connection->parser;
  if (parser.get().result_int() < http_status::kOk) {
    Read();  // An interim response: the final one follows.
    return;
  }
  auto message = parser.release();
  // Bytes behind the response would be taken for the next one.
  if (!message.keep_alive() || m_connection->read_buffer.size() > 0) {
    CloseConnection();
  }
  ClientReply reply;
  reply.status = static_cast<int>(message.result_int());
  for (const auto& field : message.base()) {
    reply.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  reply.body = std::move(message.body());
  Finish(reply);
}

void ClientSession::Finish(const ClientReply& reply) {
  m_timer.Cancel();
  Callback callback = std::move(m_callback);
  m_callback = nullptr;
  callback(reply);
}

bool ClientSession::IsBodyIncomplete(const SystemError& ended) const {
  return m_connection->read_started && (ended == http::error::body_limit ||
                                        m_connection->parser->is_header_done());
}

void ClientSession::FailCall(const std::string& error,
                             bool not_sent,
                             bool body_incomplete) {
  ClientReply reply;
  reply.error = error;
  reply.not_sent = not_sent;
  reply.body_incomplete = body_incomplete;
  FinishFailed(reply);
}

void ClientSession::OnTimeout() {
  ClientReply reply;
  reply.error = "timed out";
  reply.not_sent = !m_connection->write_started;
  reply.body_incomplete = IsBodyIncomplete({});
  reply.response_timed_out = !reply.not_sent && !reply.body_incomplete;
  FinishFailed(reply);
}

void ClientSession::FinishFailed(const ClientReply& reply) {
  CloseConnection();
  Finish(reply);
}

void ClientSession::CloseConnection() {
  if (m_connection == nullptr) {
    return;
  }
  m_connection->closed = true;
  SystemError ignored;
  m_connection->socket.close(ignored);
  m_connection.reset();
}

}  // namespace jacinthdeck
