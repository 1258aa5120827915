// Starts children with fork() and execv(); PR_SET_PDEATHSIG makes the kernel
// kill a child when its parent ends.
#include "soak/child.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <iterator>
#include <regex>
#include <stdexcept>
#include <thread>
#include <utility>

namespace jacinthdeck::soak {

namespace {

constexpr int kCannotStart = 127;
constexpr std::chrono::milliseconds kPollPeriod{5};

//! Executes the program in the forked child. Never returns.
void ExecChild(std::vector<char*>& arguments,
               const char* output,
               pid_t parent) {
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int file =
      open(output, O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
  // If the parent ended before prctl(), no death signal will come, so the child
  // ends itself.
  if (file < 0 || getppid() != parent) {
    _exit(kCannotStart);
  }
  // Boost.Asio does not mark sockets as close-on-exec. A child that inherits
  // one keeps its connection open after the soak has closed it, so that an
  // entry does not see its caller leave.
  if (close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC) != 0) {
    _exit(kCannotStart);
  }
  dup2(file, STDOUT_FILENO);
  dup2(file, STDERR_FILENO);
  execv(arguments.front(), arguments.data());
  _exit(kCannotStart);
}

}  // namespace

Child::Child(const std::vector<std::string>& command, std::string output)
    : m_output(std::move(output)) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  const pid_t parent = getpid();
  m_id = fork();
  if (m_id == 0) {
    ExecChild(arguments, m_output.c_str(), parent);
  }
  if (m_id < 0) {
    throw std::runtime_error("cannot start " + command.front());
  }
}

Child::~Child() {
  if (IsRunning()) {
    Signal(SIGKILL);
    waitpid(m_id, nullptr, 0);
  }
}

void Child::Signal(int signal) {
  if (IsRunning()) {
    kill(m_id, signal);
  }
}

bool Child::IsRunning() {
  if (!m_ended) {
    m_ended = waitpid(m_id, &m_wait_status, WNOHANG) == m_id;
  }
  return !m_ended;
}

std::optional<int> Child::WaitStatus() {
  return IsRunning() ? std::nullopt : std::optional(m_wait_status);
}

std::string Child::WaitForOutput(const std::string& pattern, Duration timeout) {
  const std::regex wanted(pattern);
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (IsRunning() && std::chrono::steady_clock::now() < end) {
    std::ifstream file(m_output);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    std::smatch match;
    if (std::regex_search(text, match, wanted)) {
      return match[1];
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  throw std::runtime_error(m_output + ": no " + pattern);
}

}  // namespace jacinthdeck::soak
