// Pool of the HTTP connections to all targets.
#ifndef JACINTHDECK_HTTP_TARGET_POOL_H_
#define JACINTHDECK_HTTP_TARGET_POOL_H_

#include <cstdint>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

#include "jacinthdeck/core/clock.h"
#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/link_bytes.h"
#include "jacinthdeck/forward/attempt_end.h"
#include "jacinthdeck/http/asio.h"
#include "jacinthdeck/http/target_connection.h"
#include "jacinthdeck/http/target_pool_sink.h"
#include "jacinthdeck/http/target_protocol.h"

namespace jacinthdeck {

/*! \brief Counters of a pool since its start. */
struct PoolCounters {
  //! Connections opened, including those that then failed to connect.
  std::uint64_t opened = 0;
  std::uint64_t open_failures = 0;
  //! Responses discarded because they carried the id of another request.
  std::uint64_t foreign_responses = 0;
  //! Attempts broken off because of a limit on the size or number of the
  //! responses to them.
  std::uint64_t oversized_responses = 0;
  //! Attempts not sent because all connections to their target were busy and
  //! its connection limit was reached, or that of all targets was.
  std::uint64_t limit_refusals = 0;
  //! Bytes of requests and responses, without the overhead of the network.
  LinkBytes bytes;
};

/**
 * \brief Sends attempts over persistent connections, within a connection limit
 * per target.
 *
 * All functions and callbacks run on the event loop's thread.
 */
class TargetPool {
 public:
  /**
   * \brief Creates a pool without connections; the event loop, clock and sink
   * must outlive it.
   * \param protocol Header names used in requests and responses.
   * \param domain Failure domain of this host; bytes are counted separately for
   * targets inside and outside it.
   * \param sink Receives the end of each attempt.
   */
  TargetPool(asio::io_context& loop,
             const Clock& clock,
             TargetProtocol protocol,
             FailureDomain domain,
             TargetPoolSink& sink);
  TargetPool(const TargetPool&) = delete;
  TargetPool& operator=(const TargetPool&) = delete;

  [[nodiscard]] const PoolCounters& counters() const noexcept {
    return m_counters;
  }
  /*! \brief Bytes received for attempts whose response is not complete yet. */
  [[nodiscard]] std::uint64_t unfinished_bytes() const noexcept {
    return m_unfinished_bytes;
  }
  [[nodiscard]] std::size_t connections() const noexcept {
    return m_connection_count;
  }

  static constexpr std::size_t kDefaultConnectionLimit = 1024;
  //! Limit of unfinished_bytes(): beyond it, the attempt that received most of
  //! them is broken off.
  static constexpr std::uint64_t kMaxUnfinishedBytes = 32ULL << 20U;

  /*! \brief Sets the maximum number of connections to all targets. Beyond it
   * the connection that was idle longest is closed for a new one. */
  void SetConnectionLimit(std::size_t limit) noexcept {
    m_connection_limit = limit;
  }

  /*! \brief Sends an attempt; its end is reported to the sink later, never from
   * within this call. */
  void Send(const OutgoingAttempt& attempt);

  /*! \brief Cancels an attempt without reporting its end and closes its
   * connection, since a target stops its work only if the connection closes. */
  void Cancel(AttemptId attempt);

  /**
   * \brief Opens a connection to learn whether the target accepts any; the
   * result is reported to the sink later, never from within this call.
   * \param connection_limit Maximum number of connections to the target.
   * \param keep Whether the connection is kept for later attempts.
   */
  void CheckTarget(const TargetEntry& target,
                   std::uint32_t connection_limit,
                   bool keep);

  /*! \brief Closes the idle connections to all targets other than the given
   * ones. */
  void Retain(std::span<const TargetEntry> targets);

  /*! \brief Applies the connect and idle timeouts of all connections; called a
   * few times per second. Ends of attempts whose connection did not open in
   * time are reported from within this call. */
  void ApplyTimeouts();

 private:
  friend class TargetConnection;
  using Connections = std::vector<std::shared_ptr<TargetConnection>>;

  [[nodiscard]] std::shared_ptr<TargetConnection> FindIdleConnection(
      const OutgoingAttempt& attempt);
  [[nodiscard]] std::size_t CountConnections(const TargetId& target) const;
  //! Adds a connection to a target that is not open yet.
  [[nodiscard]] std::shared_ptr<TargetConnection> AddConnection(
      const TargetEntry& target);
  //! Returns whether a connection may be opened, and closes an idle one if it
  //! has to.
  [[nodiscard]] bool MakeRoom();
  void ReportNotSent(AttemptId attempt);
  void CountBytes(const TargetEntry& target, std::size_t bytes) {
    m_counters.bytes.Add(bytes, target.domain == m_domain);
  }
  //! Counts received bytes, and breaks off the attempt with most of them beyond
  //! the limit; that may be the one that received these.
  void AddUnfinishedBytes(std::size_t bytes);
  void RemoveUnfinishedBytes(std::size_t bytes) { m_unfinished_bytes -= bytes; }
  void RemoveConnection(const TargetConnection& connection);

  asio::io_context& m_loop;
  const Clock& m_clock;
  const TargetProtocol m_protocol;
  const FailureDomain m_domain;
  TargetPoolSink& m_sink;
  PoolCounters m_counters;
  std::unordered_map<TargetId, Connections> m_connections;
  std::size_t m_connection_count = 0;
  std::size_t m_connection_limit = kDefaultConnectionLimit;
  //! Sum over all connections; within kMaxUnfinishedBytes between two events.
  std::uint64_t m_unfinished_bytes = 0;
  //! Attempts in progress and the connections they use.
  std::unordered_map<AttemptId, std::shared_ptr<TargetConnection>> m_attempts;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_TARGET_POOL_H_
