// Waits for sockets, or for another thread's wake, with epoll.
#ifndef JACINTHDECK_RUNTIME_SOCKET_WATCH_H_
#define JACINTHDECK_RUNTIME_SOCKET_WATCH_H_

#include <chrono>
#include <vector>

namespace jacinthdeck::internal {

/*! \brief A socket that something happened on. */
struct SocketEvent {
  int socket = -1;
  bool readable = false;
  bool writable = false;
  bool failed = false;
};

/*! \brief Set of watched sockets; all but Wake() is called from one thread. */
class SocketWatch {
 public:
  SocketWatch();
  SocketWatch(const SocketWatch&) = delete;
  SocketWatch& operator=(const SocketWatch&) = delete;
  ~SocketWatch();

  /*! \brief Watches a socket, or changes what it is watched for. */
  void Watch(int socket, bool read, bool write);

  /*! \brief Watches a socket no longer; one that is closed goes by itself. */
  void Forget(int socket);

  /**
   * \brief Waits until something happens.
   * \param longest Longest wait; rounded up to whole milliseconds.
   * \return What happened; empty after a wake or when the time has passed.
   */
  [[nodiscard]] std::vector<SocketEvent> Wait(
      std::chrono::microseconds longest);

  /*! \brief Ends a wait on another thread, or the next one. */
  void Wake() noexcept;

 private:
  int m_epoll;
  int m_wake;
};

}  // namespace jacinthdeck::internal

#endif  // JACINTHDECK_RUNTIME_SOCKET_WATCH_H_
