// Timer of an event loop whose ended waits run no handler.
#ifndef JACINTHDECK_HTTP_LOOP_TIMER_H_
#define JACINTHDECK_HTTP_LOOP_TIMER_H_

#include <cstdint>
#include <memory>
#include <utility>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/http/asio.h"

namespace jacinthdeck {

/**
 * \brief Runs a handler once after a time, unless it is started anew, cancelled
 * or destroyed before.
 *
 * Asio does not cancel the handler of a timer that has expired and is already
 * queued: it would run with success after the cancellation.
 */
class LoopTimer {
 public:
  explicit LoopTimer(asio::io_context& loop) : m_timer(loop) {}
  ~LoopTimer() { Cancel(); }
  LoopTimer(const LoopTimer&) = delete;
  LoopTimer& operator=(const LoopTimer&) = delete;

  /*! \brief Runs a handler after a time; the wait before ends without one.
   * \param after Time from now; zero or less runs it in a later turn. */
  template <typename Handler>
  void Start(Duration after, Handler handler) {
    const std::uint64_t number = ++*m_wait_number;
    m_timer.expires_after(after);
    m_timer.async_wait([current = m_wait_number, number,
                        handler = std::move(handler)](const SystemError&) {
      if (*current == number) {
        handler();
      }
    });
  }

  /*! \brief Ends the wait without running its handler. */
  void Cancel() {
    ++*m_wait_number;
    m_timer.cancel();
  }

 private:
  asio::steady_timer m_timer;
  //! Number of the current wait, shared with the queued handlers, which do
  //! nothing if it has changed.
  std::shared_ptr<std::uint64_t> m_wait_number =
      std::make_shared<std::uint64_t>(0);
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_LOOP_TIMER_H_
