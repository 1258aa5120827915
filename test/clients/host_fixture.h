// A host as a process of its own, with a store and targets in the test.
#ifndef JACINTHDECK_TEST_CLIENTS_HOST_FIXTURE_H_
#define JACINTHDECK_TEST_CLIENTS_HOST_FIXTURE_H_

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "clients/scripted_target.h"
#include "jacinthdeck/core/boottime_clock.h"
#include "jacinthdeck/http/client_session.h"
#include "soak/child.h"
#include "store/store_server.h"

namespace jacinthdeck::test {

/*! \brief Limits and routes of a test. */
struct HostOptions {
  //! File descriptors that the host may open.
  std::uint32_t descriptors = 1024;
  //! Services "shard-N"; the route "/all/" asks all of them.
  std::size_t shards = 1;
  //! Targets of each service.
  std::size_t targets = 1;
  std::uint32_t slots = 64;
  //! Connections that each target accepts from all hosts.
  std::uint32_t target_connections = 128;
  std::uint32_t top_records = 4;
};

/*! \brief Ports of a host. */
struct HostPorts {
  std::uint16_t callers = 0;
  std::uint16_t ready = 0;
  std::uint16_t directory = 0;
  std::uint16_t metrics = 0;
  std::uint16_t queries = 0;
  std::uint16_t peers = 0;
};

/**
 * \brief Runs the daemon against a stand-in store and scripted targets.
 *
 * The path's last part says what a target does: "small" and "large" are
 * answered, "hold" never is.
 */
class HostFixture {
 public:
  //! Address of the host, apart from that of all other processes.
  static constexpr const char* kAddress = "127.0.0.2";
  //! Memory of the smallest machines that the system has to run on.
  static constexpr std::size_t kMachineBytes = std::size_t{160} << 20U;
  //! Body of a large response.
  static constexpr std::size_t kLargeBytes = std::size_t{8} << 20U;

  HostFixture();
  ~HostFixture();

  /*! \brief Starts the host and waits for its first answer. */
  void Start(const HostOptions& options);

  [[nodiscard]] const HostPorts& ports() const noexcept { return m_ports; }
  /*! \brief Highest number of bytes that the process had in memory. */
  [[nodiscard]] std::size_t PeakBytes() const;
  [[nodiscard]] std::size_t OpenDescriptors() const;

  /*! \brief Checks that the process runs, within its memory and descriptors,
   * once it has processed what it was sent. */
  void CheckBounds();
  /*! \brief Checks the same, and that one request is answered. */
  void CheckServes();

  /*! \brief Sends SIGTERM; returns whether the process ended by itself with
   * success. */
  [[nodiscard]] bool Stop();

  /*! \brief Makes a request as an ordinary caller does, which retries up to
   * nine times, each on a new connection; returns the last reply. */
  [[nodiscard]] ClientReply Ask(const std::string& path) const;
  /*! \brief Makes one request to a port. */
  [[nodiscard]] static ClientReply AskOnce(std::uint16_t port,
                                           const std::string& path);
  /*! \brief Asks the directory as an ordinary caller does. */
  [[nodiscard]] ClientReply AskDirectory() const;

  /*! \brief Returns the head of a request, up to the line that ends it. */
  [[nodiscard]] static std::string Head(const std::string& method,
                                        const std::string& path);
  /*! \brief Returns a request without a body. */
  [[nodiscard]] static std::string Get(const std::string& path) {
    return Head("GET", path) + "\r\n";
  }

 protected:
  //! Waits until the process has little to do.
  void WaitUntilIdle() const;

  //! Answers one request; a test may replace it before Start().
  ScriptedTarget::Script m_script;

 private:
  //! Makes a request to a port, again as long as it does not succeed.
  [[nodiscard]] static ClientReply AskPort(std::uint16_t port,
                                           const std::string& path);
  //! Processor time that the process has used, in clock ticks.
  [[nodiscard]] long UsedTicks() const;
  void WriteStore();
  void Put(const std::string& key, const std::string& value);

  BoottimeClock m_clock;
  std::filesystem::path m_folder;
  HostOptions m_options;
  HostPorts m_ports;
  standins::StoreServer m_store;
  std::optional<ScriptedTarget> m_targets;
  std::unique_ptr<soak::Child> m_host;
  int m_process = 0;
};

}  // namespace jacinthdeck::test

#endif  // JACINTHDECK_TEST_CLIENTS_HOST_FIXTURE_H_
