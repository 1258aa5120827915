// The line is assembled in a buffer on the handler's stack and written by one
// write(), which a pipe takes as a whole.
#include "jacinthdeck/entry/crash_log.h"

#include <limits.h>
#include <poll.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <ctime>
#include <string_view>
#include <utility>

#include "jacinthdeck/core/boottime_clock.h"
#include "jacinthdeck/entry/log_event.h"
#include "jacinthdeck/entry/log_line.h"

namespace jacinthdeck {

namespace {

struct CrashSignal {
  int number;
  std::string_view name;
};

constexpr std::array kCrashSignals{
    CrashSignal{SIGSEGV, "SIGSEGV"}, CrashSignal{SIGBUS, "SIGBUS"},
    CrashSignal{SIGILL, "SIGILL"}, CrashSignal{SIGFPE, "SIGFPE"},
    CrashSignal{SIGABRT, "SIGABRT"}};

//! Longest wait for room in a pipe whose reader is slow. Callers of a crashed
//! process wait as long until their connections close.
constexpr int kWriteTimeoutMs = 500;
//! The frame of a signal with all vector registers takes up to 11 kB.
constexpr std::size_t kStackBytes = 65536;
constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;

//! The object whose handlers are installed. A signal handler gets no argument
//! of its own, so that it needs a variable of the process.
std::atomic<const CrashLog*> installed = nullptr;
//! Set by the first handler that runs, which writes the line.
std::atomic_flag writing = ATOMIC_FLAG_INIT;
alignas(std::max_align_t) std::array<char, kStackBytes> handler_stack;

//! Text of bounded length in a buffer of its own; excess is cut off.
class FixedText {
 public:
  void Append(std::string_view text) {
    const std::size_t count = std::min(text.size(), m_buffer.size() - m_size);
    std::copy_n(text.data(), count, m_buffer.data() + m_size);
    m_size += count;
  }

  void Append(std::int64_t number) {
    // Integers are converted without memory from the heap, locks or locales.
    std::array<char, 24> digits{};
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), number);
    Append({digits.data(), end.ptr});
  }

  //! Appends milliseconds with one decimal, as LogLine::Milliseconds() does.
  void Append(Duration time) {
    const std::int64_t tenths = time.count() * 10 / kMicrosecondsPerMillisecond;
    Append(tenths / 10);
    Append(".");
    Append(tenths % 10);
  }

  [[nodiscard]] const char* data() const { return m_buffer.data(); }
  [[nodiscard]] std::size_t size() const { return m_size; }

 private:
  //! A pipe takes up to this size as a whole.
  std::array<char, PIPE_BUF> m_buffer{};
  std::size_t m_size = 0;
};

[[nodiscard]] std::int64_t UnixMilliseconds() {
  timespec now{};
  (void)clock_gettime(CLOCK_REALTIME, &now);
  return std::int64_t{now.tv_sec} * 1000 + now.tv_nsec / 1'000'000;
}

[[nodiscard]] std::string FormatFields(const CrashLog::Options& options,
                                       std::string_view signal) {
  LogLine line;
  line.Text("host", options.host)
      .Text("event", kLogEventNames.Name(LogEvent::kCrashed))
      .Text("signal", signal)
      .Text("build", options.build);
  const std::string text = std::move(line).Finish();
  return text.substr(1, text.size() - 2);
}

//! Sets the stack for handlers, unless a sanitizer has set its own.
void SetHandlerStack() {
  stack_t former{};
  if (sigaltstack(nullptr, &former) == 0 &&
      (former.ss_flags & SS_DISABLE) != 0) {
    stack_t stack{};
    stack.ss_sp = handler_stack.data();
    stack.ss_size = handler_stack.size();
    (void)sigaltstack(&stack, nullptr);
  }
}

//! Raises a signal on this thread, with the information that came with it, so
//! that a sanitizer reports the address of the fault. It is delivered when the
//! handler returns.
void RaiseAgain(int signal, siginfo_t* info) {
  if (syscall(SYS_rt_tgsigqueueinfo, getpid(), gettid(), signal, info) != 0) {
    (void)raise(signal);
  }
}

}  // namespace

CrashLog::CrashLog(const Options& options)
    : m_descriptor(options.descriptor), m_started_at(BoottimeClock().Now()) {
  static_assert(kCrashSignals.size() == kSignals);
  for (std::size_t i = 0; i < kSignals; ++i) {
    m_fields[i] = FormatFields(options, kCrashSignals[i].name);
  }
  SetHandlerStack();
  installed = this;
  struct sigaction action {};
  action.sa_sigaction = &CrashLog::HandleSignal;
  action.sa_flags = SA_SIGINFO | SA_ONSTACK;
  // A fault within the handler then ends the process at once.
  (void)sigemptyset(&action.sa_mask);
  for (const CrashSignal& signal : kCrashSignals) {
    (void)sigaddset(&action.sa_mask, signal.number);
  }
  for (std::size_t i = 0; i < kSignals; ++i) {
    (void)sigaction(kCrashSignals[i].number, &action, &m_former[i]);
  }
}

CrashLog::~CrashLog() {
  for (std::size_t i = 0; i < kSignals; ++i) {
    (void)sigaction(kCrashSignals[i].number, &m_former[i], nullptr);
  }
  installed = nullptr;
}

void CrashLog::HandleSignal(int signal, siginfo_t* info, void* /*context*/) {
  const CrashLog* const log = installed;
  const auto* const crash =
      std::ranges::find(kCrashSignals, signal, &CrashSignal::number);
  const auto index = static_cast<std::size_t>(crash - kCrashSignals.begin());
  if (!writing.test_and_set()) {
    log->WriteLine(index);
  } else {
    // Another thread writes its line, and then ends the process.
    (void)poll(nullptr, 0, 2 * kWriteTimeoutMs);
  }
  (void)sigaction(signal, &log->m_former[index], nullptr);
  RaiseAgain(signal, info);
}

void CrashLog::WriteLine(std::size_t index) const {
  const TimePoint now = BoottimeClock().Now();
  FixedText text;
  text.Append("{\"unix_ms\":");
  text.Append(UnixMilliseconds());
  text.Append(",\"uptime_clock_ms\":");
  text.Append(now.time_since_epoch());
  text.Append(",");
  text.Append(m_fields[index]);
  text.Append(",\"uptime_ms\":");
  text.Append(now - m_started_at);
  text.Append("}\n");
  // A write to a full pipe would keep the process from ending for as long as
  // the reader is stuck.
  pollfd ready{m_descriptor, POLLOUT, 0};
  if (poll(&ready, 1, kWriteTimeoutMs) > 0) {
    (void)!write(m_descriptor, text.data(), text.size());
  }
}

}  // namespace jacinthdeck
