// Reads requests with a length; the hosts under test send no others.
#include "clients/scripted_target.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <utility>

#include "platform/wire_names.h"

namespace jacinthdeck::test {

namespace {

namespace wire = platform::wire;

//! Returns the value of a header in a head; empty if it is absent.
[[nodiscard]] std::string HeaderValue(const std::string& head,
                                      std::string_view name) {
  const std::string start = "\r\n" + std::string(name) + ": ";
  const std::size_t found = head.find(start);
  if (found == std::string::npos) {
    return "";
  }
  const std::size_t begin = found + start.size();
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

}  // namespace

struct ScriptedTarget::Connection {
  explicit Connection(tcp::socket accepted) : socket(std::move(accepted)) {}

  tcp::socket socket;
  std::array<char, 65536> read_buffer{};
  //! Head of the current request, as far as it has arrived.
  std::string head;
  //! Bytes of the current body that have not arrived; they are not kept.
  std::size_t body_left = 0;
  bool in_body = false;
  std::string response;
};

ScriptedTarget::ScriptedTarget(Script script)
    : m_script(std::move(script)),
      m_acceptor(m_loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      m_port(m_acceptor.local_endpoint().port()) {
  Accept();
  m_thread = std::thread([this] { m_loop.run(); });
}

ScriptedTarget::~ScriptedTarget() {
  m_loop.stop();
  m_thread.join();
}

void ScriptedTarget::Accept() {
  m_acceptor.async_accept([this](const SystemError& error, tcp::socket socket) {
    if (!error) {
      Read(std::make_shared<Connection>(std::move(socket)));
    }
    Accept();
  });
}

void ScriptedTarget::Read(const std::shared_ptr<Connection>& connection) {
  connection->socket.async_read_some(
      asio::buffer(connection->read_buffer),
      [this, connection](const SystemError& error, std::size_t count) {
        if (error) {
          return;
        }
        std::size_t skipped = 0;
        if (connection->in_body) {
          skipped = std::min(count, connection->body_left);
          connection->body_left -= skipped;
        }
        connection->head.append(connection->read_buffer.data() + skipped,
                                count - skipped);
        Process(connection);
      });
}

void ScriptedTarget::Process(const std::shared_ptr<Connection>& connection) {
  if (!connection->in_body) {
    const std::size_t end = connection->head.find("\r\n\r\n");
    if (end == std::string::npos) {
      Read(connection);
      return;
    }
    const std::string rest = connection->head.substr(end + 4);
    connection->head.resize(end + 2);
    const std::string length = HeaderValue(connection->head, "Content-Length");
    connection->body_left = length.empty() ? 0 : std::stoul(length);
    connection->body_left -= std::min(connection->body_left, rest.size());
    connection->in_body = true;
  }
  if (connection->body_left > 0) {
    Read(connection);
    return;
  }
  const std::string& head = connection->head;
  const std::size_t path = head.find(' ') + 1;
  connection->response =
      m_script({head.substr(path, head.find(' ', path) - path),
                HeaderValue(head, wire::kExpectInstance),
                HeaderValue(head, wire::kRequestId)});
  connection->head.clear();
  connection->in_body = false;
  if (!connection->response.empty()) {
    Write(connection);
  } else {
    Read(connection);
  }
}

void ScriptedTarget::Write(const std::shared_ptr<Connection>& connection) {
  asio::async_write(
      connection->socket, asio::buffer(connection->response),
      [this, connection](const SystemError& error, std::size_t /*count*/) {
        if (!error) {
          Read(connection);
        }
      });
}

std::string StampedResponse(const TargetRequest& request,
                            const std::string& status,
                            const std::string& body) {
  std::string response = "HTTP/1.1 " + status + "\r\n";
  response += std::string(wire::kServerStamp) + ": " + request.target + "." +
              request.request_id + "\r\n";
  response +=
      std::string(wire::kRequestId) + ": " + request.request_id + "\r\n";
  response += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return response + body;
}

}  // namespace jacinthdeck::test
