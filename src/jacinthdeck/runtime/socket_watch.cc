// Waits for sockets, or for another thread's wake, with epoll.
#include "jacinthdeck/runtime/socket_watch.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstddef>
#include <cstdint>

namespace jacinthdeck::internal {

namespace {

constexpr std::size_t kEventsAtOnce = 256;

}  // namespace

SocketWatch::SocketWatch()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC)),
      m_wake(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  Watch(m_wake, true, false);
}

SocketWatch::~SocketWatch() {
  close(m_wake);
  close(m_epoll);
}

void SocketWatch::Watch(int socket, bool read, bool write) {
  epoll_event event{};
  event.events = (read ? std::uint32_t{EPOLLIN} : 0U) |
                 (write ? std::uint32_t{EPOLLOUT} : 0U);
  event.data.fd = socket;
  // A number may belong to a new socket by now, whose old one left the set when
  // it was closed.
  if (epoll_ctl(m_epoll, EPOLL_CTL_MOD, socket, &event) != 0 &&
      errno == ENOENT) {
    (void)epoll_ctl(m_epoll, EPOLL_CTL_ADD, socket, &event);
  }
}

void SocketWatch::Forget(int socket) {
  (void)epoll_ctl(m_epoll, EPOLL_CTL_DEL, socket, nullptr);
}

std::vector<SocketEvent> SocketWatch::Wait(std::chrono::microseconds longest) {
  std::array<epoll_event, kEventsAtOnce> events{};
  const auto milliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(longest).count();
  const int count =
      epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()),
                 static_cast<int>(milliseconds));
  std::vector<SocketEvent> happened;
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<std::size_t>(i)];
    if (event.data.fd == m_wake) {
      std::uint64_t wakes = 0;
      (void)!read(m_wake, &wakes, sizeof(wakes));
      continue;
    }
    happened.push_back(
        SocketEvent{event.data.fd, (event.events & EPOLLIN) != 0U,
                    (event.events & EPOLLOUT) != 0U,
                    (event.events & (EPOLLERR | EPOLLHUP)) != 0U});
  }
  return happened;
}

void SocketWatch::Wake() noexcept {
  const std::uint64_t one = 1;
  (void)!write(m_wake, &one, sizeof(one));
}

}  // namespace jacinthdeck::internal
