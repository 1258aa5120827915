// A listening socket and its connections.
#ifndef JACINTHDECK_HTTP_EDGE_SERVER_H_
#define JACINTHDECK_HTTP_EDGE_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "jacinthdeck/core/clock.h"
#include "jacinthdeck/core/result.h"
#include "jacinthdeck/http/asio.h"
#include "jacinthdeck/http/edge_connection.h"
#include "jacinthdeck/http/edge_handler.h"

namespace jacinthdeck {

/*! \brief Counts of a server since its start. */
struct EdgeCounters {
  std::uint64_t accepted = 0;
  std::uint64_t requests = 0;
  //! Requests that were refused before they were whole: malformed, too large
  //! or too slow.
  std::uint64_t rejected = 0;
  //! Connections refused for their number.
  std::uint64_t over_limit = 0;
};

/**
 * \brief Accepts connections and hands their requests to a handler.
 *
 * Everything happens on the thread that runs the event loop.
 */
class EdgeServer {
 public:
  /**
   * \brief Makes a server that does not listen yet.
   * \param loop Event loop; outlives the server, as do the handler and clock.
   */
  EdgeServer(asio::io_context& loop, const Clock& clock, EdgeHandler& handler);
  EdgeServer(const EdgeServer&) = delete;
  EdgeServer& operator=(const EdgeServer&) = delete;

  /**
   * \brief Opens the port and begins to accept.
   * \param address IPv4 number.
   * \param port 0 lets the kernel choose.
   * \param max_connections Further ones are closed at once.
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

  /*! \brief Replaces the limits, for requests from now on. */
  void SetLimits(const EdgeLimits& limits) { m_limits = limits; }

  /*! \brief From now on each response asks its caller to close; requests are
   * still taken. */
  void Drain() noexcept { m_draining = true; }

  /*! \brief Takes no new connections; those that are open go on. */
  void StopListening();

  /*! \brief Closes connections without a request under way. */
  void CloseIdle();

  /*! \brief Ends connections that are idle or slow beyond the limits; called a
   * few times a second. */
  void CheckTimes();

 private:
  friend class EdgeConnection;

  void Accept();
  void OnAccept(const SystemError& error, tcp::socket socket);
  void RemoveConnection(const EdgeConnection& connection);

  const Clock& m_clock;
  EdgeHandler& m_handler;
  tcp::acceptor m_acceptor;
  asio::steady_timer m_accept_pause;
  EdgeLimits m_limits;
  EdgeCounters m_counters;
  bool m_draining = false;
  std::size_t m_max_connections = 0;
  std::uint64_t m_next_id = 1;
  std::unordered_map<std::uint64_t, std::shared_ptr<EdgeConnection>>
      m_connections;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_EDGE_SERVER_H_
