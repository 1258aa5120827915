// One version of the operators' configuration: routes, services and limits.
#ifndef JACINTHDECK_FORWARD_ROUTING_CONFIG_H_
#define JACINTHDECK_FORWARD_ROUTING_CONFIG_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/route.h"
#include "jacinthdeck/tenancy/tenant_table.h"

namespace jacinthdeck {

/*! \brief Limits on the requests and connections of callers. */
struct CallerLimits {
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = 1048576;
  //! Maximum time from the first byte of a request to the end of its header.
  Duration header_timeout = std::chrono::seconds(10);
  //! Maximum time of a connection without a request.
  Duration idle_timeout = std::chrono::seconds(60);

  [[nodiscard]] bool operator==(const CallerLimits&) const = default;
};

/*! \brief Configuration of a service. */
struct ServiceConfig {
  ServiceId id;
  //! Connections that each target of the service accepts from all callers
  //! together.
  std::uint32_t target_connections = 1;
  //! Requests a second that each target of the service can handle from all
  //! callers together while it is cold; 0 for no limit.
  double cold_rate = 0;
};

/**
 * \brief Immutable configuration version.
 *
 * Calls keep the version that they started with, so that all shards of an
 * answer come from one version.
 */
class RoutingConfig {
 public:
  RoutingConfig(std::uint64_t version,
                std::vector<Route> routes,
                const std::vector<ServiceConfig>& services,
                CallerLimits limits,
                std::shared_ptr<const TenantTable> tenants = nullptr);
  RoutingConfig(const RoutingConfig&) = delete;
  RoutingConfig& operator=(const RoutingConfig&) = delete;

  [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }
  [[nodiscard]] const CallerLimits& limits() const noexcept { return m_limits; }
  //! Client accounts; never null, empty if keys are not checked.
  [[nodiscard]] const std::shared_ptr<const TenantTable>& tenants()
      const noexcept {
    return m_tenants;
  }
  [[nodiscard]] const std::vector<Route>& routes() const noexcept {
    return m_routes;
  }

  /**
   * \brief Finds the matching route with the longest prefix.
   * \param host Host header; a port in it is ignored.
   * \param path Path without its query.
   * \return Null if no route of that host matches.
   */
  [[nodiscard]] const Route* Find(std::string_view host,
                                  std::string_view path) const;

  /*! \brief Smallest number of connections that a target of any configured
   * service accepts; 0 if there is no service. */
  [[nodiscard]] std::uint32_t MinTargetConnections() const noexcept {
    return m_min_target_connections;
  }

  /*! \brief Connections that a target of a service accepts in total; 1 for an
   * unknown service. */
  [[nodiscard]] std::uint32_t TargetConnections(const ServiceId& service) const;

  /*! \brief Requests a second that a cold target of a service can handle; 0 for
   * no limit. */
  [[nodiscard]] double ColdRate(const ServiceId& service) const;

 private:
  std::uint64_t m_version;
  //! Not changed after construction; pointers into it are handed out.
  std::vector<Route> m_routes;
  //! Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> m_by_host;
  std::unordered_map<ServiceId, std::uint32_t> m_target_connections;
  //! Only services with a limit.
  std::unordered_map<ServiceId, double> m_cold_rates;
  std::uint32_t m_min_target_connections = 0;
  CallerLimits m_limits;
  std::shared_ptr<const TenantTable> m_tenants;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_ROUTING_CONFIG_H_
