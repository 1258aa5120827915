// Table of a server's open connections, which counts, limits and closes them.
#ifndef JACINTHDECK_STANDINS_HTTP_CONNECTION_TABLE_H_
#define JACINTHDECK_STANDINS_HTTP_CONNECTION_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>

namespace jacinthdeck::standins {

/*! \brief Connection counts of a server. */
struct ConnectionCounts {
  std::size_t open = 0;
  //! Highest number of connections open at once, refused ones excluded.
  std::size_t most_open = 0;
  std::uint64_t opened = 0;
  //! Connections that were closed because the limit was exceeded.
  std::uint64_t refused = 0;
  std::uint64_t idle_closed = 0;
};

/**
 * \brief Open connections, keyed by the client's port, which is unique among
 * the open connections of a loopback server.
 *
 * Connections are ended by shutdown(2) and not by close(2), because the server
 * library owns the socket and closes it. Safe to use from many threads.
 */
class ConnectionTable {
 public:
  using Clock = std::chrono::steady_clock;

  /*! \brief Creates a table that refuses connections above a limit. */
  explicit ConnectionTable(std::size_t limit) noexcept : m_limit(limit) {}

  /*! \brief Returns the counts so far. */
  [[nodiscard]] ConnectionCounts counts() const;

  /*! \brief Adds a new connection; shuts it down if the limit is exceeded. */
  void Add(std::uint16_t client_port, int socket);

  /*! \brief Removes a connection that the library is about to close. */
  void Remove(std::uint16_t client_port);

  /**
   * \brief Marks a connection as busy with a request that has arrived on it.
   * \return True for the first request of the connection.
   */
  bool BeginRequest(std::uint16_t client_port);

  /*! \brief Marks a connection as idle from now on, when the reply to its
   * request is ready. */
  void EndRequest(std::uint16_t client_port);

  /*! \brief Ends one connection without a reply. */
  void Close(std::uint16_t client_port);

  /*! \brief Ends all connections without a reply. */
  void CloseAll();

  /*! \brief Ends the connections that have been idle for at least a time. */
  void CloseIdle(Clock::duration idle);

  /*! \brief Replaces the limit; connections that are open stay open. */
  void set_limit(std::size_t limit);

 private:
  struct Connection {
    int socket = -1;
    std::uint64_t requests = 0;
    bool busy = false;
    Clock::time_point last_use;
  };

  mutable std::mutex m_mutex;
  std::size_t m_limit;
  //! Includes refused connections until the library closes them.
  std::map<std::uint16_t, Connection> m_connections;
  ConnectionCounts m_counts;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_HTTP_CONNECTION_TABLE_H_
