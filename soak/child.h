// A child process of the soak. It is signalled by its process id only, and the
// kernel kills it when the soak ends.
#ifndef SOAK_CHILD_H_
#define SOAK_CHILD_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck::soak {

/*! \brief One child process, killed by the destructor if it still runs. */
class Child {
 public:
  /**
   * \brief Starts a program. Must be called on the main thread, because the
   * kernel kills the child when the thread that started it ends.
   * \param command Program and arguments.
   * \param output File that standard output and error are appended to.
   * \throw std::runtime_error if fork() fails.
   */
  Child(const std::vector<std::string>& command, std::string output);
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  [[nodiscard]] pid_t id() const noexcept { return m_id; }

  /*! \brief Sends a signal, unless the process has ended. */
  void Signal(int signal);

  /*! \brief Whether the process has not ended; true for a stopped one. */
  [[nodiscard]] bool IsRunning();

  /*! \brief Returns how the process ended, as waitpid() reports it;
   * std::nullopt while it runs. */
  [[nodiscard]] std::optional<int> WaitStatus();

  /*! \brief File that standard output and error are appended to. */
  [[nodiscard]] const std::string& output() const { return m_output; }

  /*! \brief Waits for a regular expression to match the output.
   * \return Text of the first group of the match.
   * \throw std::runtime_error on a timeout or if the process ends before. */
  [[nodiscard]] std::string WaitForOutput(const std::string& pattern,
                                          Duration timeout);

 private:
  pid_t m_id = 0;
  bool m_ended = false;
  //! Valid once the process has ended.
  int m_wait_status = 0;
  std::string m_output;
};

}  // namespace jacinthdeck::soak

#endif  // SOAK_CHILD_H_
