// Tests of replica choice by target state and attempt results.
#include "jacinthdeck/routing/router.h"

#include <boost/test/unit_test.hpp>

#include "router_fixture.h"

namespace jacinthdeck {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_FIXTURE_TEST_SUITE(RouterTest, RouterFixture)

// A target refuses every connection immediately and therefore looks idle.
// Least-in-flight would send it a third of all requests, and a third of all
// callers would see an error. After three failures it must get only probes.
BOOST_AUTO_TEST_CASE(Choose_TargetFailsAtOnce_GetsProbesOnly) {
  const auto picks = SendRequests(2000, [this](const TargetId& target) {
    Finish(target, target == replicas[0] ? AttemptStatus::kNotSent
                                         : AttemptStatus::kAnswered);
  });
  BOOST_TEST(picks.at(replicas[0]) < 20);
}

// A target accepts requests and never answers. No attempt fails before the
// deadline, and each request sent to it waits for a hedge. The missing replies
// themselves must keep new requests away.
BOOST_AUTO_TEST_CASE(Choose_TargetNeverAnswers_IsAvoidedBeforeAnyTimeout) {
  WarmUp();
  const auto picks = SendRequests(400, [this](const TargetId& target) {
    if (target != replicas[0]) {
      Finish(target);
    }
  });
  BOOST_TEST(picks.at(replicas[0]) <= 3);
}

// Hedges answer first, and each request to the unresponsive target is
// cancelled, so its number of requests in flight stays low. The cancelled late
// attempts must count against its health.
BOOST_AUTO_TEST_CASE(Choose_RequestsToUnresponsiveTargetCancelled_IsEjected) {
  WarmUp();
  const auto picks = SendRequests(1000, [this](const TargetId& target) {
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
  WarmUp();
  const auto picks = SendRequests(2000, [this](const TargetId& target) {
    Finish(target, AttemptStatus::kAnswered,
           milliseconds(target == replicas[0] ? 50 : 5));
  });
  BOOST_TEST(picks.at(replicas[0]) < 40);
}

// Under rising load every replica of the shard becomes slow, and none is
// faulty. Ejecting one would move its requests to the others and eject them
// next.
BOOST_AUTO_TEST_CASE(Choose_AllReplicasBecomeSlow_NoneIsEjected) {
  WarmUp();
  (void)SendRequests(300, [this](const TargetId& target) {
    Finish(target, AttemptStatus::kAnswered, milliseconds(40));
  });
  BOOST_TEST(router.counters().ejections == 0U);
}

BOOST_AUTO_TEST_CASE(Choose_EjectedTargetRecovers_RegainsItsShare) {
  (void)SendRequests(2000, [this](const TargetId& target) {
    Finish(target, target == replicas[0] ? AttemptStatus::kLost
                                         : AttemptStatus::kAnswered);
  });
  BOOST_REQUIRE(router.counters().ejections >= 1U);
  now += seconds(30);
  WarmUp();
  const auto picks =
      SendRequests(900, [this](const TargetId& target) { Finish(target); });
  BOOST_TEST(picks.at(replicas[0]) > 200);
}

// All replicas fail at the same time, for example in a short network outage. If
// all were ejected, the shard would stay unreachable after the outage.
BOOST_AUTO_TEST_CASE(Choose_AllReplicasFail_EveryRequestGetsATarget) {
  const auto picks = SendRequests(300, [this](const TargetId& target) {
    Finish(target, AttemptStatus::kLost);
  });
  int sum = 0;
  for (const auto& [target, count] : picks) {
    sum += count;
  }
  BOOST_TEST(sum == 300);
}

// If a request that may be executed only once served as a probe and were lost,
// its outcome would be unknown to the caller.
BOOST_AUTO_TEST_CASE(Choose_RequestMayNotProbe_NeverGoesToAnEjectedTarget) {
  (void)SendRequests(2000, [this](const TargetId& target) {
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

BOOST_AUTO_TEST_CASE(Choose_TargetIsLeaving_GetsNoNewWork) {
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
      SendRequests(300, [this](const TargetId& target) { Finish(target); });
  BOOST_TEST(!picks.contains(*running));
}

// The host list still lists a target as live while its replies say that it is
// draining. Each such reply costs the caller a retry, so the target must be
// excluded after the first one. An outdated report must not exclude it forever.
BOOST_AUTO_TEST_CASE(
    Choose_TargetReportsDraining_IsExcludedBeforeTheHostListUpdates) {
  const auto draining = Choose();
  BOOST_REQUIRE(draining);
  AttemptResult result;
  result.target = *draining;
  result.status = AttemptStatus::kShed;
  result.draining = true;
  router.Finish(result, now);
  router.SetTargets(targets, now);
  const auto picks =
      SendRequests(300, [this](const TargetId& target) { Finish(target); });
  BOOST_TEST(!picks.contains(*draining));
  now += seconds(15);
  const auto later =
      SendRequests(300, [this](const TargetId& target) { Finish(target); });
  BOOST_TEST(later.contains(*draining));
}

BOOST_AUTO_TEST_CASE(Choose_UnknownReplicas_IsRefused) {
  replicas = {TargetId("nobody")};
  BOOST_TEST(!Choose().has_value());
  BOOST_TEST((refusal == RouteRefusal::kNoReplica));
}

BOOST_AUTO_TEST_CASE(Finish_TargetRemoved_RecordIsErasedAfterTheLastAttempt) {
  const auto target = Choose();
  BOOST_REQUIRE(target);
  router.SetTargets({}, now);
  BOOST_TEST(router.FindTarget(*target) != nullptr);
  Finish(*target);
  BOOST_TEST(router.FindTarget(*target) == nullptr);
}

BOOST_AUTO_TEST_CASE(Snapshot_AfterWork_ShowsEveryTarget) {
  WarmUp();
  const auto snapshots = router.Snapshot(now);
  BOOST_REQUIRE(snapshots.size() == 3U);
  BOOST_TEST((snapshots[0].id == replicas[0]));
  BOOST_TEST((snapshots[0].latency == milliseconds(5)));
  BOOST_TEST((snapshots[0].health == HealthState::kTrusted));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
