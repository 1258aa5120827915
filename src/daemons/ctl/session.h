// Gives commands their arguments, access to hosts and the store, and output.
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

/*! \brief Parsed reply of a host. */
struct HostReply {
  int status = 0;
  //! JSON of the body; an empty object if the reply has no body.
  JsonPtr body;
};

/*! \brief Context of one run of the program. */
class Session {
 public:
  /**
   * \brief Creates a session. The codec and the streams must outlive it.
   * \param arguments Parsed command line.
   * \param codec Encodes calls to the store and decodes its replies.
   * \param out Stream for results.
   * \param err Stream for errors.
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

  /*! \brief Returns the operands that follow the words of the command. */
  [[nodiscard]] std::vector<std::string> Operands(
      std::size_t command_words) const;

  /*! \brief Calls a host and parses the JSON body of its reply. */
  [[nodiscard]] Result<HostReply> Call(const Endpoint& endpoint,
                                       const ClientRequest& request) const;

  /*! \brief Reads the status of the host with this metrics port (IP:PORT). */
  [[nodiscard]] Result<HostReply> ReadStatus(const std::string& address) const;

  /*! \brief Reads the store's current position: its era and revision. */
  [[nodiscard]] Result<StorePosition> ReadPosition() const;

  /*! \brief Reads all keys of the store, page by page. */
  [[nodiscard]] Result<std::vector<StoreChange>> ReadStore() const;

  /**
   * \brief Writes a key of the store unless it changed since it was read.
   * \param key The key.
   * \param value New value of the key.
   * \param position Position of the key when it was read; revision 0 if the key
   * did not exist.
   */
  [[nodiscard]] StoreAck CompareAndSwap(const std::string& key,
                                        const std::string& value,
                                        const StorePosition& position) const;

  /*! \brief Prints a value: as one line of JSON with --json, else as indented
   * text. */
  void Print(const json_t& value);

  /**
   * \brief Prints an error and, unless it is empty, a hint on what to do next.
   * \return The given code, so that a command can return it.
   */
  ExitCode Fail(ExitCode code,
                const std::string& what,
                const std::string& next);

  /*! \brief Prints the error of a failed call and returns its exit code. */
  ExitCode Fail(const Error& error);

  /*! \brief Prints the error in a reply and returns its exit code. */
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
