// Tests of the line that a process writes when a signal ends it. Each process
// is a child of the test, since it has to end.
#include "jacinthdeck/entry/crash_log.h"

#include <fcntl.h>
#include <jansson.h>
#include <poll.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "jacinthdeck/core/json.h"

namespace jacinthdeck {

namespace {

constexpr std::array kSignals{
    std::pair{SIGSEGV, "SIGSEGV"}, std::pair{SIGBUS, "SIGBUS"},
    std::pair{SIGILL, "SIGILL"}, std::pair{SIGFPE, "SIGFPE"},
    std::pair{SIGABRT, "SIGABRT"}};

struct CrashFixture {
  std::array<int, 2> pipe_ends{};
  pid_t child = -1;

  CrashFixture() { BOOST_REQUIRE_EQUAL(pipe(pipe_ends.data()), 0); }
  ~CrashFixture() { close(pipe_ends[0]); }

  //! Starts a child that runs \p before, and \p work with crashes logged to the
  //! pipe.
  void Start(
      const std::function<void()>& work,
      const std::function<void()>& before = [] {}) {
    child = fork();
    BOOST_REQUIRE(child >= 0);
    if (child == 0) {
      // The test framework handles these signals, and so would go on here.
      for (const auto& [signal, name] : kSignals) {
        (void)::signal(signal, SIG_DFL);
      }
      close(pipe_ends[0]);
      before();
      const CrashLog log({"h\"1", "program 1.2", pipe_ends[1]});
      work();
      _exit(0);
    }
    close(pipe_ends[1]);
  }

  //! Returns what the child wrote until it had ended.
  [[nodiscard]] std::string ReadAll() {
    std::string text;
    std::array<char, 4096> piece{};
    ssize_t count = 0;
    while ((count = read(pipe_ends[0], piece.data(), piece.size())) > 0) {
      text.append(piece.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

  //! Returns the signal that ended the child; 0 if none did.
  [[nodiscard]] int EndSignal() const {
    int status = 0;
    BOOST_REQUIRE_EQUAL(waitpid(child, &status, 0), child);
    return WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  }
};

[[nodiscard]] std::vector<std::string> LinesOf(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) {
    lines.push_back(line);
  }
  return lines;
}

[[nodiscard]] std::string TextIn(const JsonPtr& json, const char* name) {
  const char* text = json_string_value(json_object_get(json.get(), name));
  return text == nullptr ? "" : text;
}

//! Fills a pipe without waiting for its reader.
void FillPipe(int descriptor) {
  const int flags = fcntl(descriptor, F_GETFL);
  (void)fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  const std::string text(4095, 'x');
  while (write(descriptor, (text + "\n").data(), text.size() + 1) > 0) {
  }
  (void)fcntl(descriptor, F_SETFL, flags);
}

//! Calls itself until the stack has no room.
[[gnu::noinline]] int Overflow(int depth) {
  std::array<volatile char, 4096> frame{};
  frame[0] = static_cast<char>(depth);
  return depth < 0 ? 0 : Overflow(depth + 1) + frame[0];
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CrashLogTest, CrashFixture)

// Guards against a process that crashes and leaves no line, so that its log
// looks like that of a process that was killed, and against an exit status that
// hides the signal.
BOOST_AUTO_TEST_CASE(Process_EndsByEachSignal_WritesOneLineAndKeepsStatus) {
  for (const auto& [signal, name] : kSignals) {
    if (child > 0) {
      close(pipe_ends[0]);
      BOOST_REQUIRE_EQUAL(pipe(pipe_ends.data()), 0);
    }
    Start([number = signal] { (void)raise(number); });
    const std::vector<std::string> lines = LinesOf(ReadAll());
    BOOST_TEST(EndSignal() == signal);
    BOOST_REQUIRE_EQUAL(lines.size(), 1U);
    const JsonPtr json(json_loads(lines[0].c_str(), 0, nullptr));
    BOOST_REQUIRE(json != nullptr);
    BOOST_TEST(TextIn(json, "event") == "crashed");
    BOOST_TEST(TextIn(json, "signal") == name);
    BOOST_TEST(TextIn(json, "host") == "h\"1");
    BOOST_TEST(TextIn(json, "build") == "program 1.2");
    for (const char* number : {"unix_ms", "uptime_clock_ms"}) {
      BOOST_TEST(json_number_value(json_object_get(json.get(), number)) > 0,
                 number << " in " << lines[0]);
    }
    BOOST_TEST(json_is_number(json_object_get(json.get(), "uptime_ms")));
  }
}

// Guards against a handler that only serves signals that were sent: a fault of
// the processor and abort() end the process by themselves.
BOOST_AUTO_TEST_CASE(Process_FaultsOrAborts_WritesOneLineAndKeepsStatus) {
  Start([] {
    void* page =
        mmap(nullptr, 4096, PROT_NONE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
    *static_cast<volatile char*>(page) = 1;
  });
  const std::vector<std::string> lines = LinesOf(ReadAll());
  BOOST_TEST(EndSignal() == SIGSEGV);
  BOOST_REQUIRE_EQUAL(lines.size(), 1U);
  BOOST_TEST(lines[0].find("\"signal\":\"SIGSEGV\"") != std::string::npos);

  BOOST_REQUIRE_EQUAL(pipe(pipe_ends.data()), 0);
  Start([] { std::abort(); });
  const std::vector<std::string> aborted = LinesOf(ReadAll());
  BOOST_TEST(EndSignal() == SIGABRT);
  BOOST_REQUIRE_EQUAL(aborted.size(), 1U);
  BOOST_TEST(aborted[0].find("\"signal\":\"SIGABRT\"") != std::string::npos);
}

// Guards against a handler that needs room on a stack that has overflowed.
BOOST_AUTO_TEST_CASE(Process_StackHasOverflowed_WritesOneLine) {
  Start([] { (void)Overflow(0); });
  const std::vector<std::string> lines = LinesOf(ReadAll());
  BOOST_TEST(EndSignal() == SIGSEGV);
  BOOST_REQUIRE_EQUAL(lines.size(), 1U);
  BOOST_TEST(lines[0].find("\"signal\":\"SIGSEGV\"") != std::string::npos);
}

// Guards against a line that is lost, or written twice, because the pipe of the
// log was full when the process crashed.
BOOST_AUTO_TEST_CASE(Process_PipeIsFullAndRead_WritesOneLine) {
  FillPipe(pipe_ends[1]);
  Start([] { (void)raise(SIGSEGV); });
  const std::string text = ReadAll();
  BOOST_TEST(EndSignal() == SIGSEGV);
  std::size_t crashes = 0;
  for (const std::string& line : LinesOf(text)) {
    crashes += line.find("\"event\":\"crashed\"") != std::string::npos ? 1 : 0;
  }
  BOOST_TEST(crashes == 1U);
}

// Guards against a process that crashed and does not end, because the reader of
// its log is stuck. The reader here never reads.
BOOST_AUTO_TEST_CASE(Process_PipeIsFullAndNotRead_Ends) {
  FillPipe(pipe_ends[1]);
  Start([] { (void)raise(SIGSEGV); });
  BOOST_TEST(EndSignal() == SIGSEGV);
}

// Guards against two lines for one death, when threads crash at the same time.
BOOST_AUTO_TEST_CASE(Process_SeveralThreadsCrash_WritesOneLine) {
  Start([] {
    std::vector<std::thread> threads;
    threads.reserve(8);
    for (int i = 0; i < 8; ++i) {
      threads.emplace_back([] { (void)raise(SIGSEGV); });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  });
  const std::vector<std::string> lines = LinesOf(ReadAll());
  BOOST_TEST(EndSignal() == SIGSEGV);
  BOOST_REQUIRE_EQUAL(lines.size(), 1U);
}

// Guards against a signal that the handler takes from the action that was in
// force before, such as that of a sanitizer.
BOOST_AUTO_TEST_CASE(Process_HasFormerHandler_HandlerGetsSignal) {
  Start([] { (void)raise(SIGFPE); },
        [] { (void)::signal(SIGFPE, [](int) { _exit(7); }); });
  BOOST_TEST(LinesOf(ReadAll()).size() == 1U);
  int status = 0;
  BOOST_REQUIRE_EQUAL(waitpid(child, &status, 0), child);
  BOOST_TEST(WIFEXITED(status));
  BOOST_TEST(WEXITSTATUS(status) == 7);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
