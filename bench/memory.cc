// Memory of what a node holds, by size: targets in the router, members,
// partition maps, requests in flight. Counts bytes in use by the allocator;
// four sizes each, so that slopes can be fitted.
#include <malloc.h>

#include <array>
#include <cstdint>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "jacinthdeck/cluster/member_table.h"
#include "jacinthdeck/query/engine.h"
#include "jacinthdeck/routing/router.h"

namespace jacinthdeck {
namespace {

constexpr std::uint32_t kReplicas = 3;

[[nodiscard]] std::size_t InUse() {
  return mallinfo2().uordblks;
}

void PrintRow(const char* what, std::size_t size, std::size_t before) {
  const std::size_t bytes = InUse() - before;
  std::cout << "| " << what << " | " << size << " | " << bytes << " | "
            << bytes / size << " |\n";
}

[[nodiscard]] std::vector<TargetInfo> MakeTargets(std::size_t count) {
  std::vector<TargetInfo> targets(count);
  for (std::size_t i = 0; i < count; ++i) {
    targets[i].id = TargetId("forum-consulta-" + std::to_string(i));
    targets[i].service = ServiceId("Service" + std::to_string(i % 90));
    targets[i].domain = FailureDomain("domain-" + std::to_string(i % 10));
    targets[i].address = "10.200.100." + std::to_string(i % 250);
    targets[i].slots = 3;
    targets[i].connections = 30;
  }
  return targets;
}

[[nodiscard]] PartitionMap MakeMap(std::size_t shards) {
  PartitionMap map;
  map.version = IndexVersion(1);
  for (std::size_t i = 0; i < shards; ++i) {
    Shard shard;
    shard.id = ShardId(static_cast<std::uint32_t>(i));
    shard.range =
        KeyRange{kKeySpaceEnd * i / shards, kKeySpaceEnd * (i + 1) / shards};
    for (std::size_t replica = 0; replica < kReplicas; ++replica) {
      shard.replicas.emplace_back("forum-consulta-" +
                                  std::to_string(i * kReplicas + replica));
    }
    map.shards.push_back(std::move(shard));
  }
  return map;
}

void MeasureTargets(std::size_t count) {
  const std::vector<TargetInfo> targets = MakeTargets(count);
  const std::size_t before = InUse();
  Router router(1);
  router.SetTargets(targets, TimePoint());
  PrintRow("targets in the router", count, before);
}

void MeasureMembers(std::size_t count) {
  const std::size_t before = InUse();
  MemberTable table(SelfInfo{}, ClusterOptions());
  for (std::size_t i = 0; i < count; ++i) {
    MemberUpdate update;
    update.node = NodeId("entry-node-" + std::to_string(i));
    update.incarnation = Incarnation(1);
    update.domain = FailureDomain("domain-" + std::to_string(i % 10));
    update.address = MemberAddress{"10.200.100.250", 1, 2};
    (void)table.Merge(update, TimePoint());
  }
  PrintRow("members", count, before);
}

void MeasureMap(std::size_t shards) {
  const std::size_t before = InUse();
  const PartitionMap map = MakeMap(shards);
  PrintRow("shards of a partition map, 3 replicas", shards, before);
}

void MeasureCalls(std::size_t calls) {
  constexpr std::size_t kShards = 410;
  Router router(1);
  std::vector<TargetInfo> targets = MakeTargets(kShards * kReplicas);
  for (TargetInfo& target : targets) {
    target.service = ServiceId("Wide");
    target.connections = 4096;
    target.slots = 4096;
  }
  router.SetTargets(targets, TimePoint());
  Engine engine(router, 1);
  engine.SetVersions(ServiceId("Wide"), {MakeMap(kShards)});
  auto method = std::make_shared<Method>();
  method->service = ServiceId("Wide");
  const auto body =
      std::make_shared<const std::string>(R"({"text":"brown boots"})");
  const std::size_t before = InUse();
  std::size_t attempts = 0;
  for (std::size_t i = 0; i < calls; ++i) {
    Call call;
    call.id = CallId(i + 1);
    call.tenant = TenantId("tenant");
    call.method = method;
    call.body = body;
    call.deadline = TimePoint(std::chrono::milliseconds(250));
    Effects effects;
    engine.Submit(std::move(call), TimePoint(), effects);
    attempts += effects.sends.size();
  }
  PrintRow("requests in flight, 410 a query", attempts == 0 ? 1 : attempts,
           before);
}

int Main() {
  std::cout << "| what | size | bytes | bytes each |\n|---|---|---|---|\n";
  for (const std::size_t size : {100U, 500U, 1000U, 2900U}) {
    MeasureTargets(size);
  }
  for (const std::size_t size : {8U, 64U, 256U, 590U}) {
    MeasureMembers(size);
  }
  for (const std::size_t size : {10U, 90U, 410U, 1000U}) {
    MeasureMap(size);
  }
  for (const std::size_t size : {1U, 4U, 16U, 55U}) {
    MeasureCalls(size);
  }
  return 0;
}

}  // namespace
}  // namespace jacinthdeck

int main() {
  return jacinthdeck::Main();
}
