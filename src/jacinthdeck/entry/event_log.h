// Structured log of a process: bounded in bytes, never waits.
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
 * Lines beyond the bytes a second are dropped and counted; a line tells the
 * gap. Lines are handed over in chunks, since waking the writer costs more than
 * a line.
 */
class EventLog {
 public:
  /*! \brief What the log is bounded by. */
  struct Options {
    //! Stands on each line, since logs of several hosts are read together.
    std::string host;
    std::uint32_t bytes_per_second = 65536;
  };

  /*! \brief Makes a log; the clock and the writer outlive it. */
  EventLog(Options options, const Clock& clock, LogWriter& writer);

  /*! \brief Lines dropped since the start. */
  [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }

  /*! \brief Begins a line with its time, event and the life of the process. */
  [[nodiscard]] LogLine Begin(LogEvent event) const;

  /*! \brief Tells whether a line would be dropped now; its work can then be
   * spared. */
  [[nodiscard]] bool HasRoom();

  /*! \brief Adds a line. */
  void Add(LogLine line);

  /*! \brief Counts a line that was not even built. */
  void Drop() noexcept { ++m_dropped; }

  /*! \brief Hands what was collected to the writer; called some times a second
   * and at the end. */
  void Flush();

 private:
  void Refill();

  const Options m_options;
  const Clock& m_clock;
  LogWriter& m_writer;
  std::string m_chunk;
  std::uint32_t m_lines = 0;
  //! Bytes that may still be logged now.
  double m_room;
  TimePoint m_refilled;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_told_dropped = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_EVENT_LOG_H_
