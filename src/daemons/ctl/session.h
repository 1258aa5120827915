// What every command needs: its arguments, the daemon, and where to print.
#ifndef JACINTHDECK_DAEMONS_CTL_SESSION_H_
#define JACINTHDECK_DAEMONS_CTL_SESSION_H_

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "ctl/arguments.h"
#include "ctl/exit_code.h"
#include "jacinthdeck/core/clock.h"
#include "jacinthdeck/core/json.h"
#include "jacinthdeck/core/result.h"
#include "jacinthdeck/platform/http_client.h"

namespace jacinthdeck::ctl {

/*! \brief A reply of a daemon, parsed. */
struct DaemonReply {
  long status = 0;
  //! An empty object where the reply has no body.
  JsonPtr body;
};

/*! \brief One run of the program. */
class Session {
 public:
  /**
   * \brief Makes a session.
   * \param arguments Command line.
   * \param clock Clock of the waits; outlives the session.
   * \param sleep Waits for a time of that clock.
   * \param out Where results go; outlives the session.
   * \param err Where errors go; outlives the session.
   */
  Session(Arguments arguments,
          const Clock& clock,
          std::function<void(Duration)> sleep,
          std::ostream& out,
          std::ostream& err);

  [[nodiscard]] const Arguments& arguments() const noexcept {
    return m_arguments;
  }
  [[nodiscard]] const Clock& clock() const noexcept { return m_clock; }
  /*! \brief Waits. */
  void Sleep(Duration duration) const { m_sleep(duration); }

  [[nodiscard]] std::ostream& out() noexcept { return m_out; }

  /*! \brief Operands after the words of the command. */
  [[nodiscard]] std::vector<std::string> Operands(
      std::size_t command_words) const;

  /*! \brief Calls the operator port. */
  [[nodiscard]] Result<DaemonReply> CallOperators(HttpCall call) const;

  /*! \brief Calls the caller port. */
  [[nodiscard]] Result<DaemonReply> CallCallers(HttpCall call) const;

  /*! \brief Prints a reply: as one line with --json, else for people. */
  void Print(const json_t& value);

  /**
   * \brief Prints an error and what to do next.
   * \return The code that was given, so that a command can return it.
   */
  ExitCode Fail(ExitCode code,
                const std::string& what,
                const std::string& next);

  /*! \brief Prints a failed call. */
  ExitCode Fail(const Error& error);

  /*! \brief Prints a reply that refuses a call. */
  ExitCode FailReply(const DaemonReply& reply);

 private:
  [[nodiscard]] Result<DaemonReply> Call(const HttpEndpoint& endpoint,
                                         HttpCall call) const;

  Arguments m_arguments;
  const Clock& m_clock;
  std::function<void(Duration)> m_sleep;
  std::ostream& m_out;
  std::ostream& m_err;
};

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_SESSION_H_
