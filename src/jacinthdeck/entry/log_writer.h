// Writes log lines on a thread of its own, without blocking the logging thread.
#ifndef JACINTHDECK_ENTRY_LOG_WRITER_H_
#define JACINTHDECK_ENTRY_LOG_WRITER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>

#include "jacinthdeck/core/bounded_ring.h"

namespace jacinthdeck {

/**
 * \brief A thread that writes chunks of lines to a file descriptor.
 *
 * Standard output may be a pipe whose reader is slow or gone. Only this thread
 * waits for the reader. While the ring is full, further chunks are dropped, and
 * EventLog counts their lines.
 */
class LogWriter {
 public:
  /*! \brief Starts the thread, which writes to \p descriptor. */
  explicit LogWriter(int descriptor);
  /*! \brief Writes the chunks left in the ring and joins the thread; gives up
   * after a bounded time if the reader is slow or stuck. */
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /*! \brief Hands a chunk to the thread. If the ring is full, the chunk is
   * dropped and false is returned. */
  [[nodiscard]] bool TryWrite(std::string chunk);

 private:
  void Run();
  //! Writes a chunk. Returns false if the descriptor fails, or takes nothing
  //! once the time of a stopping writer is over.
  [[nodiscard]] bool WriteOut(const std::string& chunk) const;
  //! Returns whether the time for which a stopping writer waits is over.
  [[nodiscard]] bool MustEnd() const;

  const int m_descriptor;
  //! Written before m_stopping is set, and read after it is seen.
  std::chrono::steady_clock::time_point m_stop_by;
  std::atomic<bool> m_stopping = false;
  BoundedRing<std::string> m_ring;
  //! Declared last, so that the thread starts after the members that it uses.
  std::thread m_thread;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_LOG_WRITER_H_
