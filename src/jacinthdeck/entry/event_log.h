// Structured log of a process, bounded in bytes per second and non-blocking.
#ifndef JACINTHDECK_ENTRY_EVENT_LOG_H_
#define JACINTHDECK_ENTRY_EVENT_LOG_H_

#include <cstdint>
#include <string>

#include "jacinthdeck/core/clock.h"
#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/entry/log_event.h"
#include "jacinthdeck/entry/log_line.h"
#include "jacinthdeck/entry/log_writer.h"

namespace jacinthdeck {

/**
 * \brief Collects lines on the event loop and hands them to the writer.
 *
 * Lines beyond the bytes per second are dropped and counted, and a later line
 * reports how many were dropped. Lines are handed over in chunks, since waking
 * the writer thread costs more than building a line.
 */
class EventLog {
 public:
  /*! \brief Name of the host and limit of the volume. */
  struct Options {
    //! Name of the host, written to each line, since logs of several hosts are
    //! read together.
    std::string host;
    //! Maximum number of bytes logged per second, on average.
    std::uint32_t bytes_per_second = 65536;
  };

  /*! \brief Makes a log; the clock and the writer must outlive it. */
  EventLog(Options options, const Clock& clock, LogWriter& writer);

  /*! \brief Returns the number of lines dropped since the start. */
  [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }

  /*! \brief Begins a line with the wall clock time, the runtime's clock, the
   * host and the event. */
  [[nodiscard]] LogLine Begin(LogEvent event) const;

  /*! \brief Returns whether a line would be kept now. If not, the caller can
   * skip building it. */
  [[nodiscard]] bool HasRoom();

  /*! \brief Adds a line, or drops and counts it if the limit is reached. */
  void Add(LogLine line);

  /*! \brief Counts a dropped line that was not built. */
  void Drop() noexcept { ++m_dropped; }

  /*! \brief Hands the collected lines to the writer. Called several times a
   * second and at the end of the process. */
  void Flush();

 private:
  void Refill();

  const Options m_options;
  const Clock& m_clock;
  LogWriter& m_writer;
  std::string m_chunk;
  //! Number of lines in the chunk.
  std::uint32_t m_chunk_lines = 0;
  //! Tokens of the bucket: bytes that may still be logged now. Negative after
  //! a line that was larger than the rest.
  double m_available_bytes;
  TimePoint m_refilled_at;
  std::uint64_t m_dropped = 0;
  //! Dropped lines that a line in the log has reported.
  std::uint64_t m_reported_dropped = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_EVENT_LOG_H_
