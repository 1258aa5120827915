// Writes log lines to standard output without holding up who logs.
#ifndef JACINTHDECK_ENTRY_LOG_WRITER_H_
#define JACINTHDECK_ENTRY_LOG_WRITER_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

#include "jacinthdeck/core/bounded_ring.h"

namespace jacinthdeck {

/**
 * \brief A thread that writes chunks of lines to a descriptor.
 *
 * Standard output may be a pipe whose reader is slow or gone. Only this thread
 * waits for it; a full ring drops chunks, and their lines are counted.
 */
class LogWriter {
 public:
  /*! \brief Starts the thread. */
  explicit LogWriter(int descriptor);
  /*! \brief Writes what is in the ring, within a bounded time, and ends. */
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /*! \brief Hands a chunk over; false, and it is gone, if the ring is full. */
  [[nodiscard]] bool TryWrite(std::string chunk);

 private:
  void Run();
  //! False if the descriptor takes nothing any more.
  [[nodiscard]] bool WriteOut(const std::string& chunk) const;

  const int m_descriptor;
  std::atomic<bool> m_stopping = false;
  BoundedRing<std::string> m_ring;
  //! Last, so that it starts after all it uses.
  std::thread m_thread;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_LOG_WRITER_H_
