// Clients that keep connections open and send bytes that no protocol asks for.
#ifndef JACINTHDECK_TEST_CLIENTS_CROWD_H_
#define JACINTHDECK_TEST_CLIENTS_CROWD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jacinthdeck::test {

/*! \brief What each client of a crowd sends: a head, then a pattern that is
 * repeated up to a number of bytes. */
struct CrowdBytes {
  std::string head;
  std::string pattern;
  //! Number of bytes after the head; the last pattern may be cut.
  std::size_t pattern_bytes = 0;
};

/*! \brief Whether a crowd reads what it is sent. */
enum class CrowdReading { kAll, kNothing };

/**
 * \brief A number of connections from one thread to a port of the host.
 *
 * A connection that the host closes stays closed.
 */
class Crowd {
 public:
  /*! \brief Opens the connections; those that are refused count as closed. */
  Crowd(std::uint16_t port, std::size_t clients);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /**
   * \brief Sends bytes on all connections at once.
   *
   * Ends when each client has sent them or was closed, and at the latest when
   * no byte was taken for some seconds.
   */
  void Send(const CrowdBytes& bytes, CrowdReading reading);

  /*! \brief Sends bytes on one connection, and reads there until a number of
   * bytes has arrived, or the host closes it or sends nothing for some seconds;
   * returns how many bytes arrived. */
  std::size_t SendAndRead(std::size_t client,
                          const std::string& bytes,
                          std::size_t wanted);

 private:
  void Close(int& socket);

  //! -1 for a connection that is closed.
  std::vector<int> m_sockets;
};

}  // namespace jacinthdeck::test

#endif  // JACINTHDECK_TEST_CLIENTS_CROWD_H_
