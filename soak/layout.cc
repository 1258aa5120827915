// Builds routes and services in the form in which operators store them.
#include "soak/layout.h"

#include <jansson.h>

#include "jacinthdeck/core/json.h"

namespace jacinthdeck::soak {

namespace {

//! Timeout of the other routes: long enough for a second attempt after a lost
//! one, and shorter than the callers' timeout.
constexpr int kRouteTimeoutMs = 1200;
//! Timeout of the slow route: longer than its slowest request.
constexpr int kSlowRouteTimeoutMs = 3400;
constexpr int kObjectiveMs = 150;
constexpr int kMaxAttempts = 3;
//! One of three shards suffices for an answer, so that faults lead to partial
//! answers.
constexpr double kMinPartShare = 0.3;
//! More than the connections that all entries together open to one target.
constexpr int kTargetConnections = 64;
constexpr const char* kSingle = "single";

[[nodiscard]] json_t* RouteJson(const char* name,
                                const char* type,
                                const std::string& service) {
  const std::string prefix = "/" + std::string(name) + "/";
  json_t* route =
      json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i}", "name", name,
                "host", "127.0.0.1", "prefix", prefix.c_str(), "routeType",
                type, "timeoutMs", kRouteTimeoutMs, "targetLatencyMs",
                kObjectiveMs, "maxAttempts", kMaxAttempts, "priority", 1);
  if (!service.empty()) {
    json_object_set_new(route, "service", json_string(service.c_str()));
  }
  return route;
}

[[nodiscard]] json_t* ServiceJson(const std::string& name) {
  return json_pack("{s:s, s:i}", "name", name.c_str(), "maxConnections",
                   kTargetConnections);
}

[[nodiscard]] json_t* AccountJson(const Account& account) {
  json_t* keys = json_array();
  for (const std::string& key : account.keys) {
    json_array_append_new(keys, json_string(key.c_str()));
  }
  json_t* json =
      json_pack("{s:s, s:o}", "name", account.name.c_str(), "apiKeys", keys);
  if (account.rate > 0) {
    json_object_set_new(json, "ratePerS", json_real(account.rate));
    json_object_set_new(json, "burst", json_real(account.burst));
  }
  return json;
}

void AddAccounts(json_t* config,
                 const std::string& service,
                 const std::vector<Account>& accounts) {
  json_t* route = RouteJson("public", "idempotent", service);
  json_object_set_new(route, "public", json_true());
  json_array_append_new(json_object_get(config, "routes"), route);
  json_t* tenants = json_array();
  for (const Account& account : accounts) {
    json_array_append_new(tenants, AccountJson(account));
  }
  json_object_set_new(config, "tenants", tenants);
}

}  // namespace

std::string ServiceName(std::uint32_t layout, std::uint32_t shard) {
  return "shard-" + std::to_string(layout) + "-" + std::to_string(shard);
}

std::string SingleServiceName(std::uint32_t layout) {
  return std::string(kSingle) + "-" + std::to_string(layout);
}

std::string ConfigText(std::uint32_t version,
                       std::uint32_t layout,
                       const std::vector<Account>& accounts,
                       bool with_slow_route) {
  json_t* query = RouteJson("query", "idempotent", "");
  json_t* shards = json_array();
  json_t* services = json_array();
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    const std::string name = ServiceName(layout, shard);
    json_array_append_new(shards, json_string(name.c_str()));
    json_array_append_new(services, ServiceJson(name));
  }
  json_object_set_new(query, "fanout", shards);
  json_object_set_new(query, "topK", json_integer(json_int_t{kShards} * 2));
  json_object_set_new(query, "minPartShare", json_real(kMinPartShare));
  const std::string single = SingleServiceName(layout);
  json_array_append_new(services, ServiceJson(single));
  const JsonPtr config(json_pack(
      "{s:i, s:[o, o, o], s:o}", "version", static_cast<int>(version), "routes",
      RouteJson("claim", "non_idempotent", single),
      RouteJson("lookup", "idempotent", single), query, "services", services));
  if (with_slow_route) {
    json_t* slow = RouteJson("slow", "non_idempotent", single);
    json_object_set_new(slow, "timeoutMs", json_integer(kSlowRouteTimeoutMs));
    json_array_append_new(json_object_get(config.get(), "routes"), slow);
  }
  if (!accounts.empty()) {
    AddAccounts(config.get(), single, accounts);
  }
  return DumpJson(*config);
}

}  // namespace jacinthdeck::soak
