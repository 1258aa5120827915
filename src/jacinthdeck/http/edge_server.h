// HTTP server: a listening socket and its connections.
#ifndef JACINTHDECK_HTTP_EDGE_SERVER_H_
#define JACINTHDECK_HTTP_EDGE_SERVER_H_

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "jacinthdeck/core/clock.h"
#include "jacinthdeck/core/result.h"
#include "jacinthdeck/http/asio.h"
#include "jacinthdeck/http/caller_memory.h"
#include "jacinthdeck/http/edge_connection.h"
#include "jacinthdeck/http/edge_handler.h"
#include "jacinthdeck/http/loop_timer.h"

namespace jacinthdeck {

/*! \brief Counters of a server since its start. */
struct EdgeCounters {
  std::uint64_t accepted = 0;
  std::uint64_t requests = 0;
  //! Requests rejected by the server before they reached the handler because
  //! they were malformed, too large or too slow.
  std::uint64_t rejected = 0;
  //! Connections closed on accept because the connection limit was reached.
  std::uint64_t over_limit = 0;
  //! Connections closed for another one at the connection limit.
  std::uint64_t displaced = 0;
  //! Requests rejected before they had arrived as a whole, because the memory
  //! for requests was in use.
  std::uint64_t without_memory = 0;
  //! Connections closed whose callers did not take their responses, because the
  //! memory for responses was in use.
  std::uint64_t responses_dropped = 0;
};

/**
 * \brief Accepts connections and hands their requests to a handler.
 *
 * All functions and callbacks run on the event loop's thread.
 */
class EdgeServer {
 public:
  /**
   * \brief Creates a server that does not listen yet; the event loop, clock and
   * handler must outlive it.
   * \param memory Memory for its callers, which servers may share.
   */
  EdgeServer(asio::io_context& loop,
             const Clock& clock,
             EdgeHandler& handler,
             CallerMemory memory = CallerMemory());
  EdgeServer(const EdgeServer&) = delete;
  EdgeServer& operator=(const EdgeServer&) = delete;

  /**
   * \brief Binds the port and starts accepting connections.
   * \param address IPv4 address in dotted decimal form.
   * \param port Port; 0 lets the kernel choose one.
   * \param max_connections Beyond this number a connection without a request
   * is closed for a further one, or else the further one is closed on accept.
   */
  [[nodiscard]] Result<void> Listen(const std::string& address,
                                    std::uint16_t port,
                                    std::size_t max_connections);

  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] const EdgeLimits& limits() const noexcept { return m_limits; }
  [[nodiscard]] std::size_t connections() const noexcept {
    return m_connections.size();
  }
  [[nodiscard]] bool draining() const noexcept { return m_draining; }
  [[nodiscard]] const EdgeCounters& counters() const noexcept {
    return m_counters;
  }

  /*! \brief Replaces the limits. Size limits apply to requests that start from
   * now on, timeouts to all connections. */
  void SetLimits(const EdgeLimits& limits) { m_limits = limits; }

  /*! \brief Makes each further response close its connection; requests are
   * still accepted. */
  void Drain() noexcept { m_draining = true; }

  /*! \brief Closes the port, after the connections that await it have been
   * accepted; open connections are unaffected. */
  void StopListening();

  /*! \brief Closes all connections that have no request in progress. */
  void CloseIdle();

  /*! \brief Answers 503 to all requests that have not arrived as a whole. */
  void RejectIncomplete();

  /*! \brief Applies the timeouts of all connections; called a few times per
   * second. */
  void ApplyTimeouts();

 private:
  friend class EdgeConnection;

  void Accept();
  void OnAccept(const SystemError& error, tcp::socket socket);
  //! Serves a connection, or closes it if there are too many.
  void AddConnection(tcp::socket socket);
  //! Closes a connection for a further one: the one that has been idle longest,
  //! or else that whose request arrives, or is sent ahead of its response, for
  //! the longest time. Returns false if all others await their responses.
  [[nodiscard]] bool DisplaceConnection();
  //! Returns a copy, since a connection may remove itself.
  [[nodiscard]] std::vector<std::shared_ptr<EdgeConnection>> Connections()
      const;
  void RemoveConnection(const EdgeConnection& connection);
  //! Returns the connection in its phase for the longest time that matches a
  //! predicate; null if there is none.
  template <typename Predicate>
  [[nodiscard]] std::shared_ptr<EdgeConnection> FindOldest(
      Predicate matches) const;
  //! Makes a connection the last one that has started a phase.
  void MoveToBack(EdgeConnection::Position position) {
    m_connections.splice(m_connections.end(), m_connections, position);
  }
  //! Resizes the part of the memory for requests that a connection holds. Makes
  //! room by rejecting the oldest requests that have not arrived as a whole and
  //! hold at least half as much; returns false if that is not enough.
  [[nodiscard]] bool HoldInput(const EdgeConnection& connection,
                               HeldBytes& held,
                               std::size_t bytes);
  //! Takes a part of the memory for responses. Makes room by closing the
  //! connections whose responses have waited longest for their callers; returns
  //! false if that is not enough.
  [[nodiscard]] bool HoldResponse(const EdgeConnection& connection,
                                  HeldBytes& held,
                                  std::size_t bytes);

  const Clock& m_clock;
  EdgeHandler& m_handler;
  const CallerMemory m_memory;
  tcp::acceptor m_acceptor;
  LoopTimer m_accept_pause;
  EdgeLimits m_limits;
  EdgeCounters m_counters;
  bool m_draining = false;
  std::size_t m_max_connections = 0;
  //! In the order in which their phases started.
  std::list<std::shared_ptr<EdgeConnection>> m_connections;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_EDGE_SERVER_H_
