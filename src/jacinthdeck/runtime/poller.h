// A thread that does one thing again and again, and backs off while it fails.
#ifndef JACINTHDECK_RUNTIME_POLLER_H_
#define JACINTHDECK_RUNTIME_POLLER_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>

#include "jacinthdeck/core/backoff.h"
#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Polls until it is destroyed. */
class Poller {
 public:
  /*! \brief One poll; false where it failed. */
  using Poll = std::function<bool()>;

  /**
   * \brief Starts the thread; the first poll is made at once.
   * \param period Time between polls; each is drawn from 80 to 120% of it, so
   * that nodes started at one moment do not ask at one moment for ever. \param
   * seed Seed of the jitter. \param poll Called on the thread.
   */
  Poller(Duration period, std::uint64_t seed, Poll poll);
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;
  ~Poller();

 private:
  void Run();
  [[nodiscard]] Duration NextDelay(bool succeeded);

  Duration m_period;
  Random m_random;
  Backoff m_backoff;
  Poll m_poll;
  std::mutex m_mutex;
  std::condition_variable m_stopped;
  bool m_stop = false;
  std::thread m_thread;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_POLLER_H_
