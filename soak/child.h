// A process that the soak started; it is ended by its id, and ends with the
// soak.
#ifndef SOAK_CHILD_H_
#define SOAK_CHILD_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck::soak {

/*! \brief One child process, killed by the destructor if it still runs. */
class Child {
 public:
  /**
   * \brief Starts a program; call it on the main thread only, since the child
   * is killed when the thread that started it ends.
   * \param command Program and arguments.
   * \param output File that takes its output and its errors.
   * \throw std::runtime_error if no process can be made.
   */
  Child(const std::vector<std::string>& command, std::string output);
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  /*! \brief Sends a signal, unless the process has ended. */
  void Signal(int signal);

  /*! \brief Whether it still runs; a frozen one does. */
  [[nodiscard]] bool IsRunning();

  /*! \brief Waits until a pattern stands in the output; its first group.
   * \throw std::runtime_error if it does not come in time. */
  [[nodiscard]] std::string WaitFor(const std::string& pattern,
                                    Duration patience);

 private:
  pid_t m_id = 0;
  bool m_ended = false;
  std::string m_output;
};

}  // namespace jacinthdeck::soak

#endif  // SOAK_CHILD_H_
