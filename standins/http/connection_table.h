// Open connections of a server: counted, limited and closed on demand.
#ifndef JACINTHDECK_STANDINS_HTTP_CONNECTION_TABLE_H_
#define JACINTHDECK_STANDINS_HTTP_CONNECTION_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>

namespace jacinthdeck::standins {

/*! \brief How many connections a server has seen. */
struct ConnectionCounts {
  std::size_t open = 0;
  std::size_t most_open = 0;
  std::uint64_t opened = 0;
  std::uint64_t refused = 0;
  std::uint64_t idle_closed = 0;
};

/**
 * \brief Sockets by the client's port, which is unique among the open
 * connections of a loopback server.
 *
 * Connections are ended by shutdown(2): the server library owns the socket and
 * closes it.
 */
class ConnectionTable {
 public:
  using Clock = std::chrono::steady_clock;

  /*! \brief Makes a table that refuses connections above a limit. */
  explicit ConnectionTable(std::size_t limit) noexcept : m_limit(limit) {}

  /*! \brief Counts so far. */
  [[nodiscard]] ConnectionCounts counts() const;

  /*! \brief Takes a new connection in, or ends it above the limit. */
  void Add(std::uint16_t client_port, int socket);

  /*! \brief Forgets a connection that is about to be closed. */
  void Remove(std::uint16_t client_port);

  /**
   * \brief Notes that a request has arrived on a connection.
   * \return True for its first request.
   */
  bool BeginRequest(std::uint16_t client_port);

  /*! \brief Notes that the reply to a request is ready. */
  void EndRequest(std::uint16_t client_port);

  /*! \brief Ends one connection without a reply. */
  void Close(std::uint16_t client_port);

  /*! \brief Ends all connections without a reply. */
  void CloseAll();

  /*! \brief Ends the connections that have had no request for a time. */
  void CloseIdle(Clock::duration idle);

  /*! \brief Replaces the limit; open connections stay. */
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
  //! Holds refused connections too, until the library closes them.
  std::map<std::uint16_t, Connection> m_connections;
  ConnectionCounts m_counts;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_HTTP_CONNECTION_TABLE_H_
