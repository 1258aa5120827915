// Measures the processor time of Router::Choose() and Router::Finish() for
// queries that fan out to many targets. Prints a Markdown table.
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>
#include <variant>
#include <vector>

#include "jacinthdeck/routing/router.h"

namespace jacinthdeck::bench {

namespace {

constexpr std::size_t kShards = 410;
constexpr std::size_t kReplicas = 7;
constexpr int kQueries = 2000;

struct Shards {
  std::vector<TargetInfo> targets;
  std::vector<std::vector<TargetId>> replicas;
};

[[nodiscard]] Shards MakeShards(const ServiceId& service) {
  Shards shards;
  for (std::size_t shard = 0; shard < kShards; ++shard) {
    auto& replicas = shards.replicas.emplace_back();
    for (std::size_t replica = 0; replica < kReplicas; ++replica) {
      TargetInfo info;
      info.id = TargetId("t-" + std::to_string(shard) + "-" +
                         std::to_string(replica));
      info.service = service;
      info.domain = FailureDomain("d-" + std::to_string(replica));
      info.slots = 3;
      info.connections = 30;
      replicas.push_back(info.id);
      shards.targets.push_back(info);
    }
  }
  return shards;
}

//! Chooses a target for each shard, then finishes all attempts. Returns the
//! number of targets that were chosen.
[[nodiscard]] std::uint64_t RunQuery(Router& router,
                                     const ServiceId& service,
                                     const Shards& shards,
                                     TimePoint now) {
  std::vector<TargetId> chosen;
  chosen.reserve(kShards);
  for (const auto& replicas : shards.replicas) {
    const auto choice = router.Choose(
        RouteRequest{service, replicas, {}, AttemptKind::kFirst}, now);
    if (const auto* target = std::get_if<TargetId>(&choice)) {
      chosen.push_back(*target);
    }
  }
  for (const TargetId& target : chosen) {
    AttemptResult result;
    result.target = target;
    result.latency = Duration(5000 + now.time_since_epoch().count() % 3000);
    router.Finish(result, now + result.latency);
  }
  return chosen.size();
}

void Run() {
  const ServiceId service("CounterDesk");
  const Shards shards = MakeShards(service);
  Router router(1);
  TimePoint now{};
  router.SetTargets(shards.targets, now);
  router.SetHostCount(8, now);
  std::uint64_t choices = 0;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kQueries; ++i) {
    now += std::chrono::milliseconds(8);
    choices += RunQuery(router, service, shards, now);
  }
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  std::printf(
      "| targets | fan-out | replicas | Choose+Finish/s | ns each |\n"
      "|---|---|---|---|---|\n| %zu | %zu | %zu | %.0f | %.0f |\n",
      kShards * kReplicas, kShards, kReplicas,
      static_cast<double>(choices) / elapsed.count(),
      elapsed.count() * 1e9 / static_cast<double>(choices));
}

}  // namespace

}  // namespace jacinthdeck::bench

int main() {
  jacinthdeck::bench::Run();
  return 0;
}
