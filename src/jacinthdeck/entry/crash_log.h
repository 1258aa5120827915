// Logs the signal by which the process ends.
#ifndef JACINTHDECK_ENTRY_CRASH_LOG_H_
#define JACINTHDECK_ENTRY_CRASH_LOG_H_

#include <signal.h>

#include <array>
#include <cstddef>
#include <string>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/**
 * \brief Handles the signals of a crash, and writes one line for it.
 *
 * Without this line, the log of a process that crashed ends like that of one
 * that was killed. SIGSEGV, SIGBUS, SIGILL, SIGFPE and SIGABRT are handled: the
 * handler writes the line, restores the action that was in force before, and
 * raises the signal again. So the process ends by the signal, and a sanitizer
 * or a debugger still sees it. Nothing is continued.
 *
 * The handler only calls functions that POSIX lists as async-signal-safe, and
 * uses text that was formatted before. Lines that the log had not written by
 * then are lost, at most those of about 0.1 s.
 */
class CrashLog {
 public:
  /*! \brief Contents and destination of the line. */
  struct Options {
    std::string host;
    //! Name and version of the program.
    std::string build;
    int descriptor = -1;
  };

  /*! \brief Installs the handlers. Only one object may exist at a time. Must be
   * created on the thread that runs the event loop, since the handlers' stack
   * is set for this thread: one that overflowed its stack has no room on it. */
  explicit CrashLog(const Options& options);
  /*! \brief Restores the former actions of the signals. */
  ~CrashLog();
  CrashLog(const CrashLog&) = delete;
  CrashLog& operator=(const CrashLog&) = delete;

 private:
  static constexpr std::size_t kSignals = 5;

  static void HandleSignal(int signal, siginfo_t* info, void* context);
  void WriteLine(std::size_t index) const;

  const int m_descriptor;
  const TimePoint m_started_at;
  //! Fields of the line that are known before, by signal: from `host` to
  //! `build`, without braces.
  std::array<std::string, kSignals> m_fields;
  //! Actions that were in force before, by signal.
  std::array<struct sigaction, kSignals> m_former{};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_CRASH_LOG_H_
