// Writes each call as HTTP/1.1 and reads its response with Boost.Beast.
#include "jacinthdeck/http/client_session.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "jacinthdeck/http/socket_options.h"
#include "jacinthdeck/http/status.h"

namespace jacinthdeck {

namespace {

namespace http = boost::beast::http;

//! Limit on the body of a response; a response may hold a page of store
//! entries.
constexpr std::uint64_t kMaxBodyBytes = 16ULL << 20U;

}  // namespace

const std::string* ClientReply::FindHeader(std::string_view name) const {
  const auto found = std::ranges::find_if(headers, [&](const Header& header) {
    return boost::beast::iequals(header.name, name);
  });
  return found == headers.end() ? nullptr : &found->value;
}

ClientSession::ClientSession(asio::io_context& loop,
                             const std::string& address,
                             std::uint16_t port)
    : m_loop(loop),
      m_address(address),
      m_port(port),
      m_socket(loop),
      m_timer(loop) {}

ClientSession::~ClientSession() {
  *m_alive = false;
}

void ClientSession::Call(const ClientRequest& request,
                         Duration timeout,
                         Callback callback) {
  m_callback = std::move(callback);
  ++m_call_number;
  m_write_started = false;
  m_read_started = false;
  m_write_buffer = request.method + " " + request.target +
                   " HTTP/1.1\r\nHost: " + m_address + "\r\n";
  for (const Header& header : request.headers) {
    m_write_buffer += header.name + ": " + header.value + "\r\n";
  }
  if (!request.body.empty()) {
    m_write_buffer += "Content-Type: application/json\r\n";
  }
  if (request.method != "GET") {
    m_write_buffer +=
        "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  m_write_buffer += "\r\n" + request.body;
  m_timer.expires_after(timeout);
  m_timer.async_wait(
      [this, alive = m_alive, call = m_call_number](const SystemError& ended) {
        if (*alive && !ended && call == m_call_number && m_callback) {
          FailCall("timed out", !m_write_started, IsBodyIncomplete({}));
        }
      });
  m_reused = m_socket.is_open();
  if (m_reused) {
    Write();
  } else {
    Open();
  }
}

void ClientSession::Abort() {
  ++m_call_number;
  m_callback = nullptr;
  m_timer.cancel();
  CloseSocket();
}

void ClientSession::Open() {
  SystemError error;
  const auto address = asio::ip::make_address_v4(m_address, error);
  m_socket = tcp::socket(m_loop);
  m_read_buffer.clear();
  m_socket.async_connect(
      tcp::endpoint(address, m_port),
      [this, alive = m_alive, call = m_call_number](const SystemError& ended) {
        if (!*alive || call != m_call_number || !m_callback) {
          return;
        }
        if (ended) {
          FailCall("cannot connect: " + ended.message(), true);
          return;
        }
        SetStreamOptions(m_socket);
        Write();
      });
}

void ClientSession::Write() {
  m_write_started = true;
  asio::async_write(m_socket, asio::buffer(m_write_buffer),
                    [this, alive = m_alive, call = m_call_number](
                        const SystemError& ended, std::size_t) {
                      if (!*alive || call != m_call_number || !m_callback) {
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
  m_read_started = true;
  m_parser = std::make_unique<Parser>();
  m_parser->body_limit(kMaxBodyBytes);
  http::async_read(
      m_socket, m_read_buffer, *m_parser,
      [this, alive = m_alive, call = m_call_number](const SystemError& ended,
                                                    std::size_t) {
        if (!*alive || call != m_call_number || !m_callback) {
          return;
        }
        if (ended) {
          FailCall("no reply: " + ended.message(), false,
                   IsBodyIncomplete(ended));
          return;
        }
        if (m_parser->get().result_int() < http_status::kOk) {
          Read();  // An interim response: the final one follows.
          return;
        }
        auto message = m_parser->release();
        // Bytes behind the response would be taken for the next one.
        if (!message.keep_alive() || m_read_buffer.size() > 0) {
          CloseSocket();
        }
        ClientReply reply;
        reply.status = static_cast<int>(message.result_int());
        for (const auto& field : message.base()) {
          reply.headers.push_back(
              {std::string(field.name_string()), std::string(field.value())});
        }
        reply.body = std::move(message.body());
        Finish(reply);
      });
}

void ClientSession::Finish(const ClientReply& reply) {
  m_timer.cancel();
  ++m_call_number;
  Callback callback = std::move(m_callback);
  m_callback = nullptr;
  callback(reply);
}

bool ClientSession::IsBodyIncomplete(const SystemError& ended) const {
  return m_read_started &&
         (ended == http::error::body_limit || m_parser->is_header_done());
}

void ClientSession::FailCall(const std::string& error,
                             bool not_sent,
                             bool body_incomplete) {
  CloseSocket();
  ClientReply reply;
  reply.error = error;
  reply.not_sent = not_sent;
  reply.body_incomplete = body_incomplete;
  Finish(reply);
}

void ClientSession::CloseSocket() {
  SystemError ignored;
  m_socket.close(ignored);
  m_read_buffer.clear();
}

}  // namespace jacinthdeck
