// Writes and reads with poll() on non-blocking sockets.
#include "clients/crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace jacinthdeck::test {

namespace {

//! Time without progress after which a crowd stops sending.
constexpr int kStallMs = 3000;
//! Minimum size of the text that the pattern is repeated to.
constexpr std::size_t kBlockBytes = 65536;

//! Bytes of one client that are still to be sent.
class Stream {
 public:
  Stream(const CrowdBytes& bytes, const std::string& block)
      : m_head(bytes.head),
        m_block(block),
        m_period(bytes.pattern.size()),
        m_end(bytes.head.size() + bytes.pattern_bytes) {}

  [[nodiscard]] bool done() const noexcept { return m_sent == m_end; }

  //! Sends what the socket takes; returns false if the connection has ended.
  bool Send(int socket, bool& progress) {
    while (!done()) {
      const bool in_head = m_sent < m_head.size();
      const std::size_t offset =
          in_head ? m_sent : (m_sent - m_head.size()) % m_period;
      const std::string& text = in_head ? m_head : m_block;
      const std::size_t count = std::min(text.size() - offset, m_end - m_sent);
      const ssize_t sent = send(socket, text.data() + offset, count,
                                MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0) {
        return errno == EAGAIN;
      }
      m_sent += static_cast<std::size_t>(sent);
      progress = true;
    }
    return true;
  }

 private:
  const std::string& m_head;
  //! The pattern, repeated; a multiple of the period.
  const std::string& m_block;
  std::size_t m_period = 1;
  std::size_t m_end = 0;
  std::size_t m_sent = 0;
};

//! Discards what has arrived; returns false if the connection has ended.
bool Discard(int socket, bool& progress) {
  std::array<char, 65536> bytes{};
  ssize_t count = 0;
  while ((count = recv(socket, bytes.data(), bytes.size(), MSG_DONTWAIT)) > 0) {
    progress = true;
  }
  return count < 0 && errno == EAGAIN;
}

}  // namespace

Crowd::Crowd(std::uint16_t port, std::size_t clients) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK + 1);
  for (std::size_t client = 0; client < clients; ++client) {
    int opened = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (opened >= 0 && connect(opened, reinterpret_cast<sockaddr*>(&address),
                               sizeof(address)) != 0) {
      Close(opened);
    }
    m_sockets.push_back(opened);
  }
}

Crowd::~Crowd() {
  for (int& socket : m_sockets) {
    Close(socket);
  }
}

void Crowd::Close(int& socket) {
  if (socket >= 0) {
    close(socket);
    socket = -1;
  }
}

void Crowd::Send(const CrowdBytes& bytes, CrowdReading reading) {
  std::string block = bytes.pattern;
  while (!block.empty() && block.size() < kBlockBytes) {
    block += bytes.pattern;
  }
  std::vector<Stream> streams(m_sockets.size(), Stream(bytes, block));
  std::vector<pollfd> polled;
  std::vector<std::size_t> clients;
  while (true) {
    polled.clear();
    clients.clear();
    for (std::size_t client = 0; client < m_sockets.size(); ++client) {
      if (m_sockets[client] >= 0 && !streams[client].done()) {
        const int events = reading == CrowdReading::kAll ? POLLIN : 0;
        polled.push_back(
            {m_sockets[client], static_cast<short>(POLLOUT | events), 0});
        clients.push_back(client);
      }
    }
    if (polled.empty() || poll(polled.data(), polled.size(), kStallMs) <= 0) {
      return;
    }
    bool progress = false;
    for (std::size_t index = 0; index < polled.size(); ++index) {
      int& socket = m_sockets[clients[index]];
      const bool ended = (polled[index].revents & (POLLERR | POLLHUP)) != 0 ||
                         ((polled[index].revents & POLLIN) != 0 &&
                          !Discard(socket, progress)) ||
                         ((polled[index].revents & POLLOUT) != 0 &&
                          !streams[clients[index]].Send(socket, progress));
      if (ended) {
        Close(socket);
        progress = true;
      }
    }
    if (!progress) {
      return;
    }
  }
}

std::size_t Crowd::SendAndRead(std::size_t client,
                               const std::string& bytes,
                               std::size_t wanted) {
  int& socket = m_sockets[client];
  if (socket < 0 || send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) !=
                        static_cast<ssize_t>(bytes.size())) {
    Close(socket);
    return 0;
  }
  std::array<char, 65536> buffer{};
  std::size_t received = 0;
  while (received < wanted) {
    pollfd polled{socket, POLLIN, 0};
    if (poll(&polled, 1, kStallMs) <= 0) {
      break;
    }
    const ssize_t count = recv(socket, buffer.data(),
                               std::min(buffer.size(), wanted - received), 0);
    if (count <= 0) {
      Close(socket);
      break;
    }
    received += static_cast<std::size_t>(count);
  }
  return received;
}

}  // namespace jacinthdeck::test
