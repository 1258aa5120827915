// Drives the query engine without sockets or threads: one call over two shards,
// of which one gets no reply, so that the answer at the deadline is partial.
#include <iostream>
#include <memory>
#include <string>

#include <jacinthdeck/core/manual_clock.h>
#include <jacinthdeck/query/engine.h>
#include <jacinthdeck/routing/router.h>

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kMiddle = jacinthdeck::kKeySpaceEnd / 2;

[[nodiscard]] jacinthdeck::TargetInfo MakeTarget(const std::string& id) {
  jacinthdeck::TargetInfo target;
  target.id = jacinthdeck::TargetId(id);
  target.service = jacinthdeck::ServiceId("Desk");
  target.slots = 3;
  target.connections = 30;
  return target;
}

[[nodiscard]] jacinthdeck::PartitionMap MakePartitionMap() {
  using jacinthdeck::KeyRange;
  using jacinthdeck::Shard;
  using jacinthdeck::ShardId;
  using jacinthdeck::TargetId;
  jacinthdeck::PartitionMap map;
  map.version = jacinthdeck::IndexVersion(1);
  map.shards.push_back(
      Shard{ShardId(0), KeyRange{0, kMiddle}, {TargetId("fast")}});
  map.shards.push_back(Shard{ShardId(1),
                             KeyRange{kMiddle, jacinthdeck::kKeySpaceEnd},
                             {TargetId("slow")}});
  return map;
}

[[nodiscard]] jacinthdeck::Call MakeCall(jacinthdeck::TimePoint now) {
  auto method = std::make_shared<jacinthdeck::Method>();
  method->service = jacinthdeck::ServiceId("Desk");
  method->name = "Search";
  jacinthdeck::Call call;
  call.id = jacinthdeck::CallId(1);
  call.method = method;
  call.body = std::make_shared<const std::string>(R"({"text":"boots"})");
  call.deadline = now + 250ms;
  return call;
}

}  // namespace

int main() {
  jacinthdeck::ManualClock clock;
  jacinthdeck::Router router(1);
  router.SetTargets({MakeTarget("fast"), MakeTarget("slow")}, clock.Now());
  jacinthdeck::Engine engine(router, 1);
  engine.SetVersions(jacinthdeck::ServiceId("Desk"), {MakePartitionMap()});

  jacinthdeck::Effects effects;
  engine.Submit(MakeCall(clock.Now()), clock.Now(), effects);
  for (const jacinthdeck::SendAttempt& send : effects.sends) {
    if (send.target.raw() == "slow") {
      continue;
    }
    clock.Advance(5ms);
    jacinthdeck::AttemptReply reply;
    reply.attempt = send.attempt;
    reply.version = send.version;
    reply.range = send.range;
    reply.hits.push_back(jacinthdeck::Hit{"ticket-1", 0.9, "{}"});
    jacinthdeck::Effects ignored;
    engine.OnReply(reply, clock.Now(), ignored);
  }

  jacinthdeck::Effects final_effects;
  while (final_effects.answers.empty()) {
    clock.Advance(1ms);
    engine.OnTimer(clock.Now(), final_effects);
  }
  const jacinthdeck::Answer& answer = final_effects.answers.front().answer;
  std::cout << "outcome " << jacinthdeck::kOutcomeNames.Name(answer.outcome)
            << ", " << answer.hits.size() << " hit, " << answer.missing.size()
            << " key range missing\n";
  return answer.outcome == jacinthdeck::Outcome::kPartial ? 0 : 1;
}
