// Connections to all targets.
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

/*! \brief Counts of a pool since its start. */
struct PoolCounters {
  std::uint64_t opened = 0;
  std::uint64_t open_failures = 0;
  //! Responses that belonged to an earlier request and were thrown away.
  std::uint64_t foreign_responses = 0;
  //! Attempts that found no connection free and no room for one more.
  std::uint64_t limit_refusals = 0;
  //! Requests and responses, without what the network adds.
  LinkBytes bytes;
};

/**
 * \brief Sends attempts over kept connections, within a limit for each target.
 *
 * Everything happens on the thread that runs the event loop.
 */
class TargetPool {
 public:
  /**
   * \brief Makes a pool without connections.
   * \param domain Failure domain of this host, for counting.
   * \param sink Told of the ends of attempts; outlives the pool, as loop and
   * clock do.
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
  [[nodiscard]] std::size_t connections() const noexcept {
    return m_connection_count;
  }

  /*! \brief Sends an attempt; its end is reported later. */
  void Send(const OutgoingAttempt& attempt);

  /*! \brief Ends an attempt and its connection without a report: only a closed
   * connection makes a target stop its work. */
  void Cancel(AttemptId attempt);

  /*! \brief Closes idle connections to targets that are not named. */
  void Retain(std::span<const TargetEntry> targets);

  /*! \brief Ends openings that take too long and connections that idled too
   * long; called some times a second. */
  void CheckTimes();

 private:
  friend class TargetConnection;
  using Connections = std::vector<std::shared_ptr<TargetConnection>>;

  [[nodiscard]] std::shared_ptr<TargetConnection> FindIdleConnection(
      const OutgoingAttempt& attempt);
  void ReportNotSent(AttemptId attempt);
  void CountBytes(const TargetEntry& target, std::size_t bytes) {
    m_counters.bytes.Add(bytes, target.domain == m_domain);
  }
  void RemoveConnection(const TargetConnection& connection);

  asio::io_context& m_loop;
  const Clock& m_clock;
  const TargetProtocol m_protocol;
  const FailureDomain m_domain;
  TargetPoolSink& m_sink;
  PoolCounters m_counters;
  std::unordered_map<TargetId, Connections> m_connections;
  std::size_t m_connection_count = 0;
  //! Attempts on a connection.
  std::unordered_map<AttemptId, std::shared_ptr<TargetConnection>> m_attempts;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_TARGET_POOL_H_
