// What every command needs: its arguments, the servers, and where to print.
#ifndef JACINTHDECK_DAEMONS_CTL_SESSION_H_
#define JACINTHDECK_DAEMONS_CTL_SESSION_H_

#include <ostream>
#include <string>
#include <vector>

#include "ctl/arguments.h"
#include "ctl/exit_code.h"
#include "jacinthdeck/core/json.h"
#include "jacinthdeck/core/result.h"
#include "jacinthdeck/discovery/platform_codec.h"
#include "jacinthdeck/http/client_session.h"

namespace jacinthdeck::ctl {

/*! \brief A reply of a host, parsed. */
struct HostReply {
  int status = 0;
  //! An empty object where the reply has no body.
  JsonPtr body;
};

/*! \brief One run of the program. */
class Session {
 public:
  /**
   * \brief Makes a session; all that it is given outlives it.
   * \param arguments Command line.
   * \param codec The store's format.
   * \param out Where results go.
   * \param err Where errors go.
   */
  Session(Arguments arguments,
          const PlatformCodec& codec,
          std::ostream& out,
          std::ostream& err);

  [[nodiscard]] const Arguments& arguments() const noexcept {
    return m_arguments;
  }
  [[nodiscard]] const PlatformCodec& codec() const noexcept { return m_codec; }
  [[nodiscard]] std::ostream& out() noexcept { return m_out; }

  /*! \brief Operands after the words of the command. */
  [[nodiscard]] std::vector<std::string> Operands(
      std::size_t command_words) const;

  /*! \brief Calls a server and reads its JSON. */
  [[nodiscard]] Result<HostReply> Call(const Endpoint& endpoint,
                                       const ClientRequest& request) const;

  /*! \brief Reads the status of the host with this metrics port (IP:PORT). */
  [[nodiscard]] Result<HostReply> ReadStatus(const std::string& address) const;

  /*! \brief Reads where the store is. */
  [[nodiscard]] Result<StorePosition> ReadPosition() const;

  /*! \brief Reads all keys of the store. */
  [[nodiscard]] Result<std::vector<StoreChange>> ReadStore() const;

  /**
   * \brief Writes a key of the store if it is as it was read.
   * \param position Position that was read; revision 0 if the key was not
   * there.
   */
  [[nodiscard]] StoreAck Swap(const std::string& key,
                              const std::string& value,
                              const StorePosition& position) const;

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
  ExitCode FailReply(const HostReply& reply);

 private:
  [[nodiscard]] Result<StorePage> ReadPage(const std::string& after) const;

  Arguments m_arguments;
  const PlatformCodec& m_codec;
  std::ostream& m_out;
  std::ostream& m_err;
};

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_SESSION_H_
