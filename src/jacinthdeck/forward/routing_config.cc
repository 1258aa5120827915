// Looks up routes by host and longest prefix.
#include "jacinthdeck/forward/routing_config.h"

#include <algorithm>
#include <utility>

namespace jacinthdeck {

namespace {

[[nodiscard]] std::string HostWithoutPort(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::ranges::transform(name, name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return name;
}

[[nodiscard]] bool LongerPrefix(const Route* left, const Route* right) {
  return left->prefix.size() > right->prefix.size();
}

}  // namespace

RoutingConfig::RoutingConfig(std::uint64_t version,
                             std::vector<Route> routes,
                             const std::vector<ServiceConfig>& services,
                             CallerLimits limits,
                             std::shared_ptr<const TenantTable> tenants)
    : m_version(version),
      m_routes(std::move(routes)),
      m_limits(limits),
      m_tenants(tenants == nullptr ? std::make_shared<const TenantTable>()
                                   : std::move(tenants)) {
  for (const Route& route : m_routes) {
    m_by_host[HostWithoutPort(route.host)].push_back(&route);
  }
  for (auto& [host, of_host] : m_by_host) {
    std::ranges::stable_sort(of_host, LongerPrefix);
  }
  for (const ServiceConfig& service : services) {
    m_target_connections[service.id] = service.target_connections;
    m_min_target_connections =
        m_min_target_connections == 0
            ? service.target_connections
            : std::min(m_min_target_connections, service.target_connections);
    if (service.cold_rate > 0) {
      m_cold_rates[service.id] = service.cold_rate;
    }
  }
}

const Route* RoutingConfig::Find(std::string_view host,
                                 std::string_view path) const {
  const auto of_host = m_by_host.find(HostWithoutPort(host));
  if (of_host == m_by_host.end()) {
    return nullptr;
  }
  const auto found = std::ranges::find_if(
      of_host->second,
      [&](const Route* route) { return path.starts_with(route->prefix); });
  return found == of_host->second.end() ? nullptr : *found;
}

std::uint32_t RoutingConfig::TargetConnections(const ServiceId& service) const {
  const auto found = m_target_connections.find(service);
  return found == m_target_connections.end() ? 1 : found->second;
}

double RoutingConfig::ColdRate(const ServiceId& service) const {
  const auto found = m_cold_rates.find(service);
  return found == m_cold_rates.end() ? 0 : found->second;
}

}  // namespace jacinthdeck
