// Accepts connections and pauses when the process runs out of descriptors.
#include "jacinthdeck/http/edge_server.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "jacinthdeck/http/listening.h"
#include "jacinthdeck/http/socket_options.h"

namespace jacinthdeck {

namespace {

//! Pause after a failed accept, which is mostly due to a lack of file
//! descriptors. Without the pause the event loop would retry the same pending
//! connection continuously.
constexpr std::chrono::milliseconds kAcceptPause{50};
//! Maximum number of idle connections that are checked for bytes which have not
//! been read; each check is a system call.
constexpr std::size_t kMaxIdleChecks = 8;

}  // namespace

EdgeServer::EdgeServer(asio::io_context& loop,
                       const Clock& clock,
                       EdgeHandler& handler,
                       CallerMemory memory)
    : m_clock(clock),
      m_handler(handler),
      m_memory(std::move(memory)),
      m_acceptor(loop),
      m_accept_pause(loop) {}

Result<void> EdgeServer::Listen(const std::string& address,
                                std::uint16_t port,
                                std::size_t max_connections) {
  m_max_connections = max_connections;
  BOOST_LEAF_CHECK(StartListening(m_acceptor, address, port));
  Accept();
  return {};
}

std::uint16_t EdgeServer::port() const {
  return ListeningPort(m_acceptor);
}

void EdgeServer::StopListening() {
  // Closing the port resets the connections that have not been accepted yet.
  SystemError error;
  m_acceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket = m_acceptor.accept(error);
    if (!error) {
      AddConnection(std::move(socket));
    }
  }
  SystemError ignored;
  m_acceptor.close(ignored);
  m_accept_pause.Cancel();
}

std::vector<std::shared_ptr<EdgeConnection>> EdgeServer::Connections() const {
  return {m_connections.begin(), m_connections.end()};
}

void EdgeServer::CloseIdle() {
  for (const auto& connection : Connections()) {
    connection->CloseIfIdle();
  }
}

void EdgeServer::RejectIncomplete() {
  for (const auto& connection : Connections()) {
    connection->RejectIncomplete();
  }
}

void EdgeServer::ApplyTimeouts() {
  const TimePoint now = m_clock.Now();
  for (const auto& connection : Connections()) {
    connection->ApplyTimeout(now);
  }
}

void EdgeServer::Accept() {
  m_acceptor.async_accept([this](const SystemError& error, tcp::socket socket) {
    OnAccept(error, std::move(socket));
  });
}

void EdgeServer::OnAccept(const SystemError& error, tcp::socket socket) {
  if (error == asio::error::operation_aborted) {
    return;
  }
  if (error) {
    m_accept_pause.Start(kAcceptPause, [this] { Accept(); });
    return;
  }
  AddConnection(std::move(socket));
  if (m_acceptor.is_open()) {
    Accept();
  }
}

void EdgeServer::AddConnection(tcp::socket socket) {
  if (m_connections.size() >= m_max_connections && !DisplaceConnection()) {
    ++m_counters.over_limit;
    return;
  }
  ++m_counters.accepted;
  SetStreamOptions(socket, EdgeConnection::kWriteTimeout);
  m_connections.push_back(
      std::make_shared<EdgeConnection>(*this, std::move(socket)));
  const auto position = std::prev(m_connections.end());
  (*position)->Start(position);
}

void EdgeServer::RemoveConnection(const EdgeConnection& connection) {
  m_connections.erase(connection.position());
}

template <typename Predicate>
std::shared_ptr<EdgeConnection> EdgeServer::FindOldest(
    Predicate matches) const {
  const auto found = std::ranges::find_if(
      m_connections,
      [&](const auto& connection) { return matches(*connection); });
  return found == m_connections.end() ? nullptr : *found;
}

bool EdgeServer::DisplaceConnection() {
  std::size_t checked = 0;
  auto oldest = FindOldest([&](const EdgeConnection& other) {
    return other.is_idle() && ++checked <= kMaxIdleChecks && !other.HasInput();
  });
  if (oldest == nullptr) {
    oldest = FindOldest(
        [](const EdgeConnection& other) { return other.is_reading(); });
  }
  if (oldest == nullptr) {
    oldest = FindOldest(
        [](const EdgeConnection& other) { return other.is_sent_ahead(); });
  }
  if (oldest == nullptr) {
    return false;
  }
  ++m_counters.displaced;
  oldest->Abandon();
  return true;
}

bool EdgeServer::HoldInput(const EdgeConnection& connection,
                           HeldBytes& held,
                           std::size_t bytes) {
  while (!held.TryResize(bytes)) {
    const auto oldest = FindOldest([&](const EdgeConnection& other) {
      return &other != &connection && other.is_reading() &&
             other.held_bytes() >= bytes / 2;
    });
    ++m_counters.without_memory;
    if (oldest == nullptr) {
      return false;
    }
    oldest->RejectForMemory();
  }
  return true;
}

bool EdgeServer::HoldResponse(const EdgeConnection& connection,
                              HeldBytes& held,
                              std::size_t bytes) {
  while (!held.TryResize(bytes)) {
    const auto oldest = FindOldest([&](const EdgeConnection& other) {
      return &other != &connection && other.held_response_bytes() > 0;
    });
    ++m_counters.responses_dropped;
    if (oldest == nullptr) {
      return false;
    }
    oldest->Close();
  }
  return true;
}

}  // namespace jacinthdeck
