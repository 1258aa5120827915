// The thread that talks to targets.
#include "jacinthdeck/runtime/target_transport.h"

#include <atomic>
#include <thread>
#include <utility>

#include "jacinthdeck/core/bounded_ring.h"
#include "jacinthdeck/runtime/transfer_pool.h"

namespace jacinthdeck {

class TargetTransport::Worker {
 public:
  Worker(const Clock& clock, std::size_t queue, ReplySink sink)
      : m_commands(queue),
        m_pool(clock, std::move(sink)),
        m_thread([this] { Run(); }) {}

  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  ~Worker() {
    m_stop = true;
    m_pool.Wake();
    m_thread.join();
  }

  [[nodiscard]] bool TryPush(TargetCommand command) {
    if (!m_commands.TryPush(std::move(command))) {
      return false;
    }
    // One wake a batch: a query sends an attempt to every shard at once, and
    // each wake is a system call on both sides.
    if (!m_woken.exchange(true)) {
      m_pool.Wake();
    }
    return true;
  }

 private:
  void Run() {
    while (!m_stop) {
      // Before the ring is emptied: a command that comes later wakes again.
      m_woken = false;
      for (TargetCommand& command :
           m_commands.PopAll(std::chrono::microseconds::zero())) {
        m_pool.Accept(std::move(command));
      }
      m_pool.Step();
    }
  }

  BoundedRing<TargetCommand> m_commands;
  internal::TransferPool m_pool;
  std::atomic<bool> m_stop = false;
  //! Whether a wake is under way that will see what is in the ring.
  std::atomic<bool> m_woken = false;
  //! Last member: it starts when all others stand, and is joined before they
  //! go.
  std::thread m_thread;
};

TargetTransport::TargetTransport(const Clock& clock,
                                 std::size_t queue,
                                 ReplySink sink)
    : m_worker(std::make_unique<Worker>(clock, queue, std::move(sink))) {}

TargetTransport::~TargetTransport() = default;

bool TargetTransport::TryPush(TargetCommand command) {
  return m_worker->TryPush(std::move(command));
}

}  // namespace jacinthdeck
