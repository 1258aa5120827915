// One version of the operators' configuration: routes, services, limits.
#ifndef JACINTHDECK_FORWARD_ROUTING_CONFIG_H_
#define JACINTHDECK_FORWARD_ROUTING_CONFIG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/route.h"

namespace jacinthdeck {

/*! \brief What callers may send, and how long they may take. */
struct CallerLimits {
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = 1048576;
  //! From the first byte of a request to the end of its header.
  Duration header_timeout = std::chrono::seconds(10);
  //! Without a request under way.
  Duration idle_timeout = std::chrono::seconds(60);

  [[nodiscard]] bool operator==(const CallerLimits&) const = default;
};

/*! \brief What the configuration says of a service. */
struct ServiceConfig {
  ServiceId id;
  //! Connections that each of its targets accepts from all callers together.
  std::uint32_t target_connections = 1;
  //! Requests a second that each of its targets bears from all callers together
  //! while it is cold; 0: no bound.
  double cold_rate = 0;
};

/**
 * \brief An immutable configuration version.
 *
 * Calls keep the version that they began with, so that all shards of an answer
 * come from one version.
 */
class RoutingConfig {
 public:
  RoutingConfig(std::uint64_t version,
                std::vector<Route> routes,
                const std::vector<ServiceConfig>& services,
                CallerLimits limits);
  RoutingConfig(const RoutingConfig&) = delete;
  RoutingConfig& operator=(const RoutingConfig&) = delete;

  [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }
  [[nodiscard]] const CallerLimits& limits() const noexcept { return m_limits; }
  [[nodiscard]] const std::vector<Route>& routes() const noexcept {
    return m_routes;
  }

  /**
   * \brief Finds the route with the longest prefix.
   * \param host Host header; a port after it is ignored.
   * \param path Path without its query.
   * \return Null if no route of that host matches.
   */
  [[nodiscard]] const Route* Find(std::string_view host,
                                  std::string_view path) const;

  /*! \brief Fewest connections that a target of any service that a route
   * names accepts; 0 if there is none. */
  [[nodiscard]] std::uint32_t MinTargetConnections() const noexcept {
    return m_min_target_connections;
  }

  /*! \brief Connections that a target of a service accepts in all; 1 for an
   * unknown one. */
  [[nodiscard]] std::uint32_t TargetConnections(const ServiceId& service) const;

  /*! \brief Requests a second that a cold target of a service bears; 0: no
   * bound. */
  [[nodiscard]] double ColdRate(const ServiceId& service) const;

 private:
  std::uint64_t m_version;
  //! Never changed after the constructor; pointers into it are handed out.
  std::vector<Route> m_routes;
  //! Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> m_by_host;
  std::unordered_map<ServiceId, std::uint32_t> m_target_connections;
  //! Of services with a bound alone.
  std::unordered_map<ServiceId, double> m_cold_rates;
  std::uint32_t m_min_target_connections = 0;
  CallerLimits m_limits;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_ROUTING_CONFIG_H_
