// A thread that does one thing again and again.
#include "jacinthdeck/runtime/poller.h"

#include <utility>

namespace jacinthdeck {

namespace {

constexpr Duration kLongestBackoff = std::chrono::seconds(10);

}  // namespace

Poller::Poller(Duration period, std::uint64_t seed, Poll poll)
    : m_period(period),
      m_random(seed),
      m_backoff(period * 2, kLongestBackoff),
      m_poll(std::move(poll)),
      m_thread([this] { Run(); }) {}

Poller::~Poller() {
  {
    const std::scoped_lock lock(m_mutex);
    m_stop = true;
  }
  m_stopped.notify_all();
  m_thread.join();
}

void Poller::Run() {
  std::unique_lock lock(m_mutex);
  while (!m_stop) {
    lock.unlock();
    const Duration delay = NextDelay(m_poll());
    lock.lock();
    m_stopped.wait_for(lock, delay, [this] { return m_stop; });
  }
}

Duration Poller::NextDelay(bool succeeded) {
  if (!succeeded) {
    return m_backoff.OnFailure(m_random);
  }
  m_backoff.OnSuccess();
  const auto fifth = static_cast<std::uint64_t>(m_period.count()) / 5;
  return m_period - Duration(fifth) + Duration(m_random.Below(2 * fifth + 1));
}

}  // namespace jacinthdeck
