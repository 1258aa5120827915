// Tests of replica choice, limits and budgets together.
#include "jacinthdeck/routing/router.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

namespace jacinthdeck {

using std::chrono::milliseconds;
using std::chrono::seconds;

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
              Duration latency = milliseconds(5)) {
    AttemptResult result;
    result.target = target;
    result.status = status;
    result.latency = latency;
    router.Finish(result, now);
  }

  //! Sends requests one after the other; the ends depend on the target.
  template <typename End>
  [[nodiscard]] std::map<TargetId, int> Run(int requests, End end) {
    std::map<TargetId, int> picks;
    for (int i = 0; i < requests; ++i) {
      now += milliseconds(5);
      if (const auto target = Choose()) {
        ++picks[*target];
        end(*target);
      }
    }
    return picks;
  }

  void Warm() {
    (void)Run(500, [this](const TargetId& target) { Finish(target); });
  }

  ServiceId service{"CounterDesk"};
  std::vector<TargetInfo> targets;
  std::vector<TargetId> replicas;
  Router router{1};
  TimePoint now = TimePoint() + seconds(100);
  RouteRefusal refusal = RouteRefusal::kNoBudget;
};

BOOST_FIXTURE_TEST_SUITE(RouterTest, RouterFixture)

// A target refuses every connection at once. By requests in flight it looks
// idle, so least-in-flight sends it a third of all work and a third of all
// callers see an error. After three failures it must get probes only.
BOOST_AUTO_TEST_CASE(Choose_TargetFailsAtOnce_GetsProbesOnly) {
  const auto picks = Run(2000, [this](const TargetId& target) {
    Finish(target, target == replicas[0] ? AttemptStatus::kNotSent
                                         : AttemptStatus::kAnswered);
  });
  BOOST_TEST(picks.at(replicas[0]) < 20);
}

// A target accepts requests and never answers. Nothing fails and nothing is
// learned until the deadline, while each request sent there waits for a hedge.
// The missing answers themselves must keep new work away.
BOOST_AUTO_TEST_CASE(Choose_TargetNeverAnswers_IsLeftBeforeAnyTimeout) {
  Warm();
  const auto picks = Run(400, [this](const TargetId& target) {
    if (target != replicas[0]) {
      Finish(target);
    }
  });
  BOOST_TEST(picks.at(replicas[0]) <= 3);
}

// The hedges win and the silent target's requests are cancelled each time, so
// its count of requests in flight stays low. The cancelled waits must count.
BOOST_AUTO_TEST_CASE(Choose_SilentTargetIsCancelledEachTime_IsEjected) {
  Warm();
  const auto picks = Run(1000, [this](const TargetId& target) {
    if (target == replicas[0]) {
      Finish(target, AttemptStatus::kCancelled, milliseconds(30));
    } else {
      Finish(target);
    }
  });
  BOOST_TEST(picks.at(replicas[0]) < 40);
  BOOST_TEST(router.counters().ejections >= 1U);
}

BOOST_AUTO_TEST_CASE(Choose_SlowTarget_GetsLittleWork) {
  Warm();
  const auto picks = Run(2000, [this](const TargetId& target) {
    Finish(target, AttemptStatus::kAnswered,
           milliseconds(target == replicas[0] ? 50 : 5));
  });
  BOOST_TEST(picks.at(replicas[0]) < 40);
}

// The load rises and every replica of the shard becomes slow. None is at fault;
// ejecting one would push its work onto the others and eject them next.
BOOST_AUTO_TEST_CASE(Choose_AllReplicasBecomeSlow_NoneIsEjected) {
  Warm();
  (void)Run(300, [this](const TargetId& target) {
    Finish(target, AttemptStatus::kAnswered, milliseconds(40));
  });
  BOOST_TEST(router.counters().ejections == 0U);
}

BOOST_AUTO_TEST_CASE(Choose_EjectedTargetIsWellAgain_GetsItsShareBack) {
  (void)Run(2000, [this](const TargetId& target) {
    Finish(target, target == replicas[0] ? AttemptStatus::kLost
                                         : AttemptStatus::kAnswered);
  });
  BOOST_REQUIRE(router.counters().ejections >= 1U);
  now += seconds(30);
  Warm();
  const auto picks =
      Run(900, [this](const TargetId& target) { Finish(target); });
  BOOST_TEST(picks.at(replicas[0]) > 200);
}

// All replicas fail at once, for example since the network is cut for a moment.
// Were all ejected, the shard would stay unreachable after the network is back.
BOOST_AUTO_TEST_CASE(Choose_AllReplicasFail_MostStayInUse) {
  const auto picks = Run(300, [this](const TargetId& target) {
    Finish(target, AttemptStatus::kLost);
  });
  int sum = 0;
  for (const auto& [target, count] : picks) {
    sum += count;
  }
  BOOST_TEST(sum == 300);
}

// A lost probe of a request that may run only once would leave its caller with
// an unknown outcome, for the sake of an experiment.
BOOST_AUTO_TEST_CASE(Choose_RequestMayNotProbe_NeverGoesToAnEjectedTarget) {
  (void)Run(2000, [this](const TargetId& target) {
    Finish(target, target == replicas[0] ? AttemptStatus::kLost
                                         : AttemptStatus::kAnswered);
  });
  BOOST_REQUIRE(router.counters().ejections >= 1U);
  for (int i = 0; i < 500; ++i) {
    now += seconds(1);
    RouteRequest request{service, replicas, {}, AttemptKind::kFirst};
    request.may_probe = false;
    const auto choice = router.Choose(request, now);
    BOOST_REQUIRE(std::holds_alternative<TargetId>(choice));
    BOOST_TEST((std::get<TargetId>(choice) != replicas[0]));
    Finish(std::get<TargetId>(choice));
  }
}

BOOST_AUTO_TEST_CASE(Choose_TargetIsLeaving_GetsNothingNewAtOnce) {
  const auto running = Choose();
  BOOST_REQUIRE(running);
  for (TargetInfo& info : targets) {
    if (info.id == *running) {
      info.state = TargetState::kLeaving;
    }
  }
  router.SetTargets(targets, now);
  Finish(*running);
  const auto picks =
      Run(300, [this](const TargetId& target) { Finish(target); });
  BOOST_TEST(!picks.contains(*running));
}

// The host list still calls a target live while it answers that it is draining.
// Each such answer costs the caller a retry, so the target must be left at the
// first one; a stale word of the target must not exclude it for ever.
BOOST_AUTO_TEST_CASE(Choose_TargetAnswersDraining_IsLeftThoughTheListLags) {
  const auto draining = Choose();
  BOOST_REQUIRE(draining);
  AttemptResult result;
  result.target = *draining;
  result.status = AttemptStatus::kShed;
  result.draining = true;
  router.Finish(result, now);
  router.SetTargets(targets, now);
  const auto picks =
      Run(300, [this](const TargetId& target) { Finish(target); });
  BOOST_TEST(!picks.contains(*draining));
  now += seconds(15);
  const auto later =
      Run(300, [this](const TargetId& target) { Finish(target); });
  BOOST_TEST(later.contains(*draining));
}

// The engine asks again after an end. If a refusal for the limit came while
// nothing is in flight, no end would follow and the call would wait for its
// deadline beside idle targets.
BOOST_AUTO_TEST_CASE(Choose_AtLimit_AlwaysHasAnAttemptInFlight) {
  router.SetEntryCount(8, now);
  std::vector<TargetId> running;
  Random random(3);
  for (int i = 0; i < 20000; ++i) {
    now += Duration(random.Below(5000));
    if (const auto target = Choose()) {
      running.push_back(*target);
    } else if (refusal == RouteRefusal::kAtLimit) {
      BOOST_REQUIRE(!running.empty());
    }
    if (!running.empty() && random.Below(3) == 0) {
      constexpr std::array kEnds{AttemptStatus::kAnswered, AttemptStatus::kShed,
                                 AttemptStatus::kLost,
                                 AttemptStatus::kCancelled};
      Finish(running.back(), kEnds.at(random.Below(kEnds.size())),
             Duration(random.Below(100000)));
      running.pop_back();
    }
  }
}

BOOST_AUTO_TEST_CASE(Choose_EightEntries_KeepsWithinTheShareOfConnections) {
  router.SetEntryCount(8, now);
  int chosen = 0;
  while (Choose()) {
    ++chosen;
  }
  BOOST_TEST(chosen == 9);
  BOOST_TEST((refusal == RouteRefusal::kAtLimit));
}

// The targets shed almost everything. A hedge would only take the place of a
// first attempt of another call, so none may be granted however many tokens are
// left.
BOOST_AUTO_TEST_CASE(Choose_HedgeWhileSaturated_IsRefused) {
  Warm();
  (void)Run(200, [this](const TargetId& target) {
    Finish(target, AttemptStatus::kShed);
  });
  BOOST_TEST(router.Saturated(service));
  BOOST_TEST(!Choose(AttemptKind::kHedge, {replicas[0]}));
  BOOST_TEST((refusal == RouteRefusal::kNoBudget));
}

// Every target fails. Each call would retry on each replica and triple the load
// on what is left; the retries must stay a tenth of the first attempts.
BOOST_AUTO_TEST_CASE(Choose_RetriesInAnOutage_AreATenthOfTheFirsts) {
  for (int i = 0; i < 5000; ++i) {
    now += milliseconds(1);
    const auto first = Choose();
    BOOST_REQUIRE(first);
    Finish(*first, AttemptStatus::kFailed);
    if (const auto retry = Choose(AttemptKind::kRetry, {*first})) {
      Finish(*retry, AttemptStatus::kFailed);
    }
  }
  BOOST_TEST(router.counters().retries <= 550U);
  BOOST_TEST(router.counters().retries >= 500U);
}

BOOST_AUTO_TEST_CASE(Choose_HedgesAskedForAll_AreAFewPercentOfTheFirsts) {
  Warm();
  const auto before = router.counters().firsts;
  for (int i = 0; i < 5000; ++i) {
    now += milliseconds(5);
    const auto first = Choose();
    BOOST_REQUIRE(first);
    if (const auto hedge = Choose(AttemptKind::kHedge, {*first})) {
      BOOST_TEST((*hedge != *first));
      Finish(*hedge, AttemptStatus::kCancelled, Duration(100));
    }
    Finish(*first);
  }
  const auto firsts = router.counters().firsts - before;
  BOOST_TEST(router.counters().hedges <= firsts * 35 / 1000 + 21);
}

// A request sits at a target that went silent, and the hedge budget is spent.
// Were the hedge refused, its caller would wait for the deadline. It replaces a
// lost request, so the retry budget pays for it.
BOOST_AUTO_TEST_CASE(Choose_HedgeAwayFromSilentTarget_NeedsNoHedgeBudget) {
  Warm();
  std::optional<TargetId> first = Choose();
  BOOST_REQUIRE(first);
  while (const auto hedge = Choose(AttemptKind::kHedge, {*first})) {
    Finish(*hedge);
  }
  BOOST_TEST((refusal == RouteRefusal::kNoBudget));
  now += seconds(1);
  const auto failover = Choose(AttemptKind::kHedge, {*first});
  BOOST_REQUIRE(failover);
  BOOST_TEST((*failover != *first));
}

// Two replicas shed and the third is ejected. A retry at once would meet the
// same full queues, or go to the lost target and stay there. It must wait.
BOOST_AUTO_TEST_CASE(Choose_RetryAfterShedsBesideEjected_WaitsThenTriesAgain) {
  (void)Run(2000, [this](const TargetId& target) {
    Finish(target, target == replicas[0] ? AttemptStatus::kLost
                                         : AttemptStatus::kAnswered);
  });
  BOOST_REQUIRE(router.counters().ejections >= 1U);
  std::vector<TargetId> tried;
  for (int i = 0; i < 2; ++i) {
    const auto shed = Choose(AttemptKind::kRetry, tried);
    BOOST_REQUIRE(shed);
    Finish(*shed, AttemptStatus::kShed);
    tried.push_back(*shed);
  }
  BOOST_TEST(!Choose(AttemptKind::kRetry, tried));
  BOOST_TEST((refusal == RouteRefusal::kAtLimit));
  now += milliseconds(20);
  const auto again = Choose(AttemptKind::kRetry, tried);
  BOOST_REQUIRE(again);
  BOOST_TEST((*again != replicas[0]));
}

BOOST_AUTO_TEST_CASE(Choose_RetryWithNoOtherReplica_TakesATriedOneAgain) {
  const auto retry = Choose(AttemptKind::kRetry, replicas);
  BOOST_TEST(retry.has_value());
  BOOST_TEST(!Choose(AttemptKind::kHedge, replicas).has_value());
}

BOOST_AUTO_TEST_CASE(Choose_UnknownReplicas_IsRefused) {
  replicas = {TargetId("nobody")};
  BOOST_TEST(!Choose().has_value());
  BOOST_TEST((refusal == RouteRefusal::kNoReplica));
}

BOOST_AUTO_TEST_CASE(Finish_TargetGoneMeanwhile_IsForgottenAfterItsLastEnd) {
  const auto target = Choose();
  BOOST_REQUIRE(target);
  router.SetTargets({}, now);
  BOOST_TEST(router.FindTarget(*target) != nullptr);
  Finish(*target);
  BOOST_TEST(router.FindTarget(*target) == nullptr);
}

BOOST_AUTO_TEST_CASE(Snapshot_AfterWork_ShowsEveryTarget) {
  Warm();
  const auto snapshots = router.Snapshot(now);
  BOOST_REQUIRE(snapshots.size() == 3U);
  BOOST_TEST((snapshots[0].id == replicas[0]));
  BOOST_TEST((snapshots[0].latency == milliseconds(5)));
  BOOST_TEST((snapshots[0].health == HealthState::kTrusted));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
