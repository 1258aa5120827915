// Reads all datagrams that have arrived before it waits again.
#include "jacinthdeck/peer/rate_limit_socket.h"

namespace jacinthdeck {

namespace {

//! Maximum number of datagrams that are read before other work of the loop gets
//! its turn.
constexpr int kMaxBatch = 64;

}  // namespace

RateLimitSocket::RateLimitSocket(asio::io_context& loop,
                                 RateLimitSocketSink& sink)
    : m_sink(sink), m_socket(loop) {}

std::uint16_t RateLimitSocket::port() const {
  SystemError ignored;
  return m_socket.local_endpoint(ignored).port();
}

Result<void> RateLimitSocket::Listen(const Endpoint& endpoint) {
  SystemError error;
  const auto ip = asio::ip::make_address_v4(endpoint.address, error);
  if (!error) {
    m_socket.open(udp::v4(), error);
  }
  if (!error) {
    m_socket.bind(udp::endpoint(ip, endpoint.port), error);
  }
  if (!error) {
    m_socket.non_blocking(true, error);
  }
  if (error) {
    Close();
    return Fail(ErrorCode::kUnavailable, endpoint.ToString(),
                "cannot receive datagrams: " + error.message());
  }
  Receive();
  return {};
}

void RateLimitSocket::Send(const udp::endpoint& to, std::string_view bytes) {
  SystemError error;
  if (bytes.size() <= kMaxRateDatagramBytes) {
    m_socket.send_to(asio::buffer(bytes), to, 0, error);
  }
  if (error || bytes.size() > kMaxRateDatagramBytes) {
    ++m_counters.send_drops;
    return;
  }
  ++m_counters.sent;
  m_counters.sent_bytes += bytes.size();
}

void RateLimitSocket::Close() {
  SystemError ignored;
  m_socket.close(ignored);
}

void RateLimitSocket::Receive() {
  m_socket.async_wait(udp::socket::wait_read, [this](const SystemError& error) {
    // The socket may be gone if the wait was cancelled.
    if (error != asio::error::operation_aborted) {
      OnReadable();
    }
  });
}

void RateLimitSocket::OnReadable() {
  for (int count = 0; count < kMaxBatch; ++count) {
    udp::endpoint from;
    SystemError error;
    const std::size_t size =
        m_socket.receive_from(asio::buffer(m_buffer), from, 0, error);
    if (error == asio::error::would_block || !m_socket.is_open()) {
      break;
    }
    if (error) {
      // The answer to an earlier datagram, such as that its port is closed.
      continue;
    }
    if (size > kMaxRateDatagramBytes) {
      ++m_counters.oversized;
      continue;
    }
    ++m_counters.received;
    m_counters.received_bytes += size;
    m_sink.OnDatagram({m_buffer.data(), size}, from);
  }
  if (m_socket.is_open()) {
    Receive();
  }
}

}  // namespace jacinthdeck
