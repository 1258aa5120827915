// A target whose behaviour is chosen by the path of the request.
#ifndef JACINTHDECK_TEST_CLIENTS_SCRIPTED_TARGET_H_
#define JACINTHDECK_TEST_CLIENTS_SCRIPTED_TARGET_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "jacinthdeck/http/asio.h"

namespace jacinthdeck::test {

/*! \brief A request as a target received it. */
struct TargetRequest {
  std::string path;
  //! Id of the target that the sender expects.
  std::string target;
  std::string request_id;
};

/**
 * \brief Serves all targets of a test on one loopback port and thread.
 *
 * The script returns the bytes of a whole response; nothing for a request that
 * is never answered.
 */
class ScriptedTarget {
 public:
  using Script = std::function<std::string(const TargetRequest&)>;

  explicit ScriptedTarget(Script script);
  ~ScriptedTarget();
  ScriptedTarget(const ScriptedTarget&) = delete;
  ScriptedTarget& operator=(const ScriptedTarget&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept { return m_port; }

 private:
  struct Connection;

  void Accept();
  void Read(const std::shared_ptr<Connection>& connection);
  //! Answers the requests that have arrived as a whole.
  void Process(const std::shared_ptr<Connection>& connection);
  void Write(const std::shared_ptr<Connection>& connection);

  Script m_script;
  asio::io_context m_loop;
  tcp::acceptor m_acceptor;
  std::uint16_t m_port = 0;
  //! Declared last, since the thread uses the members above.
  std::thread m_thread;
};

/*! \brief Returns a successful response with a stamp. */
[[nodiscard]] std::string StampedResponse(const TargetRequest& request,
                                          const std::string& status,
                                          const std::string& body);

}  // namespace jacinthdeck::test

#endif  // JACINTHDECK_TEST_CLIENTS_SCRIPTED_TARGET_H_
