// Tracks open connections and ends them by shutdown(2).
#include "http/connection_table.h"

#include <sys/socket.h>

#include <algorithm>

namespace jacinthdeck::standins {

ConnectionCounts ConnectionTable::counts() const {
  const std::scoped_lock lock(m_mutex);
  return m_counts;
}

void ConnectionTable::Add(std::uint16_t client_port, int socket) {
  const std::scoped_lock lock(m_mutex);
  m_connections[client_port] = Connection{socket, 0, false, Clock::now()};
  ++m_counts.opened;
  m_counts.open = m_connections.size();
  if (m_connections.size() > m_limit) {
    ++m_counts.refused;
    ::shutdown(socket, SHUT_RDWR);
    return;
  }
  m_counts.most_open = std::max(m_counts.most_open, m_counts.open);
}

void ConnectionTable::Remove(std::uint16_t client_port) {
  const std::scoped_lock lock(m_mutex);
  m_connections.erase(client_port);
  m_counts.open = m_connections.size();
}

bool ConnectionTable::BeginRequest(std::uint16_t client_port) {
  const std::scoped_lock lock(m_mutex);
  const auto found = m_connections.find(client_port);
  if (found == m_connections.end()) {
    return false;
  }
  found->second.busy = true;
  return found->second.requests++ == 0;
}

void ConnectionTable::EndRequest(std::uint16_t client_port) {
  const std::scoped_lock lock(m_mutex);
  const auto found = m_connections.find(client_port);
  if (found != m_connections.end()) {
    found->second.busy = false;
    found->second.last_use = Clock::now();
  }
}

void ConnectionTable::Close(std::uint16_t client_port) {
  const std::scoped_lock lock(m_mutex);
  const auto found = m_connections.find(client_port);
  if (found != m_connections.end()) {
    ::shutdown(found->second.socket, SHUT_RDWR);
  }
}

void ConnectionTable::CloseAll() {
  const std::scoped_lock lock(m_mutex);
  for (const auto& [port, connection] : m_connections) {
    ::shutdown(connection.socket, SHUT_RDWR);
  }
}

void ConnectionTable::CloseIdle(Clock::duration idle) {
  const std::scoped_lock lock(m_mutex);
  const Clock::time_point oldest = Clock::now() - idle;
  for (auto& [port, connection] : m_connections) {
    if (!connection.busy && connection.last_use <= oldest) {
      ::shutdown(connection.socket, SHUT_RDWR);
      ++m_counts.idle_closed;
      connection.last_use = Clock::time_point::max();
    }
  }
}

void ConnectionTable::set_limit(std::size_t limit) {
  const std::scoped_lock lock(m_mutex);
  m_limit = limit;
}

}  // namespace jacinthdeck::standins
