// Selects a connection for each attempt and keeps track of all connections.
#include "jacinthdeck/http/target_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <unordered_set>
#include <utility>

namespace jacinthdeck {

namespace {

//! Maximum idle time of a connection that is reused for a request that must not
//! be sent twice. A target is not about to close a connection that was in use
//! so recently; a close would leave it unknown whether the request ran.
constexpr Duration kMaxAtMostOnceIdle = std::chrono::milliseconds(700);

}  // namespace

TargetPool::TargetPool(asio::io_context& loop,
                       const Clock& clock,
                       TargetProtocol protocol,
                       FailureDomain domain,
                       TargetPoolSink& sink)
    : m_loop(loop),
      m_clock(clock),
      m_protocol(std::move(protocol)),
      m_domain(std::move(domain)),
      m_sink(sink) {}

void TargetPool::Send(const OutgoingAttempt& attempt) {
  if (auto idle = FindIdleConnection(attempt)) {
    m_attempts.emplace(attempt.id, idle);
    idle->Send(attempt);
    return;
  }
  if (CountConnections(attempt.target.id) >= attempt.connection_limit ||
      !MakeRoom()) {
    ++m_counters.limit_refusals;
    ReportNotSent(attempt.id);
    return;
  }
  const auto opened = AddConnection(attempt.target);
  m_attempts.emplace(attempt.id, opened);
  opened->Open(attempt);
}

std::size_t TargetPool::CountConnections(const TargetId& target) const {
  const auto found = m_connections.find(target);
  return found == m_connections.end() ? 0 : found->second.size();
}

std::shared_ptr<TargetConnection> TargetPool::AddConnection(
    const TargetEntry& target) {
  auto added = std::make_shared<TargetConnection>(*this, target);
  m_connections[target.id].push_back(added);
  ++m_connection_count;
  ++m_counters.opened;
  return added;
}

void TargetPool::CheckTarget(const TargetEntry& target,
                             std::uint32_t connection_limit,
                             bool keep) {
  if (CountConnections(target.id) >= connection_limit || !MakeRoom()) {
    asio::post(m_loop, [this, id = target.id] {
      m_sink.OnTargetChecked(id, TargetCheck::kUnknown);
    });
    return;
  }
  AddConnection(target)->OpenForCheck(keep);
}

bool TargetPool::MakeRoom() {
  if (m_connection_count < m_connection_limit) {
    return true;
  }
  std::shared_ptr<TargetConnection> longest_idle;
  for (const auto& [id, connections] : m_connections) {
    for (const auto& connection : connections) {
      if (connection->idle() &&
          (longest_idle == nullptr ||
           connection->idle_since() < longest_idle->idle_since())) {
        longest_idle = connection;
      }
    }
  }
  if (longest_idle == nullptr) {
    return false;
  }
  longest_idle->Close();
  return true;
}

void TargetPool::Cancel(AttemptId attempt) {
  const auto found = m_attempts.find(attempt);
  if (found == m_attempts.end()) {
    return;
  }
  const std::shared_ptr<TargetConnection> connection = found->second;
  m_attempts.erase(found);
  connection->Close();
}

void TargetPool::Retain(std::span<const TargetEntry> targets) {
  std::unordered_set<TargetId> retained;
  for (const TargetEntry& target : targets) {
    retained.insert(target.id);
  }
  Connections to_close;
  for (const auto& [id, connections] : m_connections) {
    if (retained.contains(id)) {
      continue;
    }
    std::ranges::copy_if(connections, std::back_inserter(to_close),
                         &TargetConnection::idle);
  }
  for (const auto& connection : to_close) {
    connection->Close();
  }
}

void TargetPool::ApplyTimeouts() {
  const TimePoint now = m_clock.Now();
  Connections all_connections;
  all_connections.reserve(m_connection_count);
  for (const auto& [id, connections] : m_connections) {
    all_connections.insert(all_connections.end(), connections.begin(),
                           connections.end());
  }
  for (const auto& connection : all_connections) {
    connection->ApplyTimeout(now);
  }
}

std::shared_ptr<TargetConnection> TargetPool::FindIdleConnection(
    const OutgoingAttempt& attempt) {
  const auto target_connections = m_connections.find(attempt.target.id);
  if (target_connections == m_connections.end()) {
    return nullptr;
  }
  const TimePoint now = m_clock.Now();
  std::shared_ptr<TargetConnection> newest;
  std::shared_ptr<TargetConnection> ambiguous;
  Connections stale;
  for (const auto& connection : target_connections->second) {
    if (!connection->idle()) {
      continue;
    }
    if (now >= connection->usable_until() ||
        (attempt.at_most_once &&
         now - connection->idle_since() > kMaxAtMostOnceIdle)) {
      stale.push_back(connection);
    } else if (connection->HasCarried(attempt.request->request_id) ||
               (attempt.at_most_once && connection->refused_without_id())) {
      ambiguous = connection;
    } else if (newest == nullptr ||
               connection->idle_since() > newest->idle_since()) {
      newest = connection;
    }
  }
  if (newest == nullptr) {
    // Closes unusable connections, so that the limit leaves room for a new one.
    for (const auto& connection : stale) {
      connection->Close();
    }
    if (ambiguous != nullptr &&
        CountConnections(attempt.target.id) >= attempt.connection_limit) {
      ambiguous->Close();
    }
  }
  return newest;
}

void TargetPool::ReportNotSent(AttemptId attempt) {
  asio::post(m_loop, [this, attempt] {
    AttemptEnd end;
    end.id = attempt;
    end.outcome = AttemptOutcome::kNotSent;
    m_sink.OnAttemptEnd(end);
  });
}

void TargetPool::AddUnfinishedBytes(std::size_t bytes) {
  m_unfinished_bytes += bytes;
  if (m_unfinished_bytes <= kMaxUnfinishedBytes) {
    return;
  }
  std::shared_ptr<TargetConnection> largest;
  for (const auto& [id, connections] : m_connections) {
    for (const auto& connection : connections) {
      if (largest == nullptr ||
          connection->m_attempt_bytes > largest->m_attempt_bytes) {
        largest = connection;
      }
    }
  }
  largest->FailOversized();
}

void TargetPool::RemoveConnection(const TargetConnection& connection) {
  const auto found = m_connections.find(connection.target().id);
  if (found == m_connections.end()) {
    return;
  }
  const auto erased = std::erase_if(found->second, [&](const auto& held) {
    return held.get() == &connection;
  });
  m_connection_count -= erased;
  if (found->second.empty()) {
    m_connections.erase(found);
  }
}

}  // namespace jacinthdeck
