// Everything a daemon learns from its settings file.
#ifndef JACINTHDECK_RUNTIME_SETTINGS_H_
#define JACINTHDECK_RUNTIME_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/runtime/endpoint.h"

namespace jacinthdeck {

/*! \brief Who this process is and where it runs. */
struct NodeSettings {
  NodeId name;
  std::string region;
  FailureDomain failure_domain;
};

/*! \brief Where this process listens. */
struct ListenSettings {
  //! For callers.
  Endpoint callers;
  //! For operators: metrics, health, status, configuration.
  Endpoint operators;
  //! For the other entries.
  Endpoint peers;
};

/*! \brief The outside systems. */
struct PlatformSettings {
  Endpoint store;
  Endpoint host_list;
  //! How long one call to either may take.
  Duration timeout = std::chrono::seconds(2);
};

/*! \brief Bounds on what callers may send and hold. */
struct LimitSettings {
  //! Bytes of a request body.
  std::uint32_t body_bytes = 64 * 1024;
  //! Connections of callers at once.
  std::uint32_t caller_connections = 512;
  //! Calls without an answer at once.
  std::uint32_t open_calls = 2048;
  //! Events waiting for the decision thread.
  std::uint32_t queue = 65536;
};

/*! \brief A peer to ask first, before the store has named any. */
struct PeerSeed {
  NodeId node;
  //! Its peer port.
  Endpoint endpoint;

  [[nodiscard]] bool operator==(const PeerSeed&) const = default;
};

/*! \brief Checked settings of one daemon. */
struct Settings {
  NodeSettings node;
  ListenSettings listen;
  PlatformSettings platform;
  std::vector<PeerSeed> seeds;
  LimitSettings limits;
  //! Lowest severity that is logged: trace, debug, info, warning, error.
  std::string log_level = "info";
  //! How long a graceful shutdown waits for calls in flight.
  Duration drain_timeout = std::chrono::seconds(30);
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_SETTINGS_H_
