// The targets of one process and the HTTP server that controls them.
#ifndef JACINTHDECK_STANDINS_TARGET_TARGET_GROUP_H_
#define JACINTHDECK_STANDINS_TARGET_TARGET_GROUP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "http/http_message.h"
#include "http/http_server.h"
#include "jacinthdeck/core/json_reader.h"
#include "jacinthdeck/core/result.h"
#include "target/run_log.h"
#include "target/target.h"

namespace jacinthdeck::standins {

/*! \brief Options of a TargetGroup. */
struct TargetGroupOptions {
  //! Port of the control server; 0 picks a free port.
  std::uint16_t port = 0;
  //! Uses the ports of the host list for the targets in place of free ports.
  bool listed_ports = false;
  std::size_t items_per_service = 2000;
  //! Seed of the items, service times and faults.
  std::uint64_t seed = 1;
  //! Behaviour of all targets at the start.
  Behaviour behaviour;
};

/*! \brief Runs many targets in one process, so that many fit on one machine. */
class TargetGroup {
 public:
  /**
   * \brief Opens the targets and the control server.
   * \param target_infos Targets to open.
   * \param options Ports, content and behaviour.
   */
  TargetGroup(const std::vector<TargetInfo>& target_infos,
              const TargetGroupOptions& options);
  TargetGroup(const TargetGroup&) = delete;
  TargetGroup& operator=(const TargetGroup&) = delete;

  /*! \brief Returns the port of the control server. */
  [[nodiscard]] std::uint16_t port() const noexcept { return m_server.port(); }

  /*! \brief Returns the targets in the order of the host list. */
  [[nodiscard]] const std::vector<std::unique_ptr<Target>>& targets()
      const noexcept {
    return m_targets;
  }

  [[nodiscard]] const RunLog& log() const noexcept { return m_log; }

  /**
   * \brief Replaces the versions and ranges that the targets of some services
   * serve. Targets of services that the index does not name are unchanged.
   * \param index JSON object with the partition maps of each service, in the
   * form of an `index/SERVICE` value of the store.
   * \return Number of services in the index; kCorrupt for an invalid map, which
   * changes no target.
   */
  [[nodiscard]] Result<std::size_t> LoadIndex(const JsonReader& index);

 private:
  [[nodiscard]] HttpReply Handle(const HttpRequest& request);
  [[nodiscard]] HttpReply Control(const HttpRequest& request);
  //! Applies a control message and returns the number of targets that it
  //! selects, or of services in its index if it replaces what targets serve.
  [[nodiscard]] Result<std::size_t> Apply(const std::string& text);
  [[nodiscard]] HttpReply Runs(const std::string& method) const;
  [[nodiscard]] HttpReply Counts() const;

  RunLog m_log;
  std::vector<std::unique_ptr<Target>> m_targets;
  HttpServer m_server;
  std::jthread m_idle_closer;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_TARGET_TARGET_GROUP_H_
