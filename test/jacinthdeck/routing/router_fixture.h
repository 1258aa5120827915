// Fixture with a router over three replicas of one shard.
#ifndef JACINTHDECK_TEST_ROUTING_ROUTER_FIXTURE_H_
#define JACINTHDECK_TEST_ROUTING_ROUTER_FIXTURE_H_

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jacinthdeck/routing/router.h"

namespace jacinthdeck {

struct RouterFixture {
  RouterFixture() {
    for (const std::string domain : {"a", "b", "c"}) {
      TargetInfo info;
      info.id = TargetId("t-0-" + domain);
      info.service = service;
      info.domain = FailureDomain(domain);
      info.slots = 3;
      info.connections = 30;
      targets.push_back(info);
      replicas.push_back(info.id);
    }
    router.SetTargets(targets, now);
  }

  [[nodiscard]] std::optional<TargetId> Choose(
      AttemptKind kind = AttemptKind::kFirst,
      std::vector<TargetId> tried = {}) {
    const auto choice =
        router.Choose(RouteRequest{service, replicas, tried, kind}, now);
    const auto* target = std::get_if<TargetId>(&choice);
    if (target == nullptr) {
      refusal = std::get<RouteRefusal>(choice);
      return std::nullopt;
    }
    return *target;
  }

  void Finish(const TargetId& target,
              AttemptStatus status = AttemptStatus::kAnswered,
              Duration latency = std::chrono::milliseconds(5)) {
    AttemptResult result;
    result.target = target;
    result.status = status;
    result.latency = latency;
    router.Finish(result, now);
  }

  //! Chooses targets for requests 5 ms apart and passes each to on_chosen,
  //! which may finish it. Returns the number of requests per target.
  template <typename OnChosen>
  [[nodiscard]] std::map<TargetId, int> SendRequests(int requests,
                                                     OnChosen on_chosen) {
    std::map<TargetId, int> picks;
    for (int i = 0; i < requests; ++i) {
      now += std::chrono::milliseconds(5);
      if (const auto target = Choose()) {
        ++picks[*target];
        on_chosen(*target);
      }
    }
    return picks;
  }

  void WarmUp() {
    (void)SendRequests(500, [this](const TargetId& target) { Finish(target); });
  }

  ServiceId service{"CounterDesk"};
  std::vector<TargetInfo> targets;
  std::vector<TargetId> replicas;
  Router router{1};
  TimePoint now = TimePoint() + std::chrono::seconds(100);
  RouteRefusal refusal = RouteRefusal::kNoBudget;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TEST_ROUTING_ROUTER_FIXTURE_H_
