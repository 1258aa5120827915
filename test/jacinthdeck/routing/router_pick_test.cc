// Tests of limits, hedges and retries of a router.
#include "jacinthdeck/routing/router.h"

#include <array>
#include <boost/test/unit_test.hpp>

#include "router_fixture.h"

namespace jacinthdeck {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_FIXTURE_TEST_SUITE(RouterPickTest, RouterFixture)

// After kAtLimit, the engine asks again when an attempt ends. If kAtLimit were
// returned while no attempt is in flight, the call would wait until its
// deadline although targets are idle.
BOOST_AUTO_TEST_CASE(Choose_AtLimit_AlwaysHasAnAttemptInFlight) {
  router.SetHostCount(8, now);
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

BOOST_AUTO_TEST_CASE(Choose_EightHosts_StaysWithinTheConnectionShare) {
  router.SetHostCount(8, now);
  int chosen = 0;
  while (Choose()) {
    ++chosen;
  }
  BOOST_TEST(chosen == 9);
  BOOST_TEST((refusal == RouteRefusal::kAtLimit));
}

// The targets shed almost all requests. A hedge would only displace a first
// attempt of another call, so it must be refused regardless of the tokens left.
BOOST_AUTO_TEST_CASE(Choose_HedgeWhileServiceSaturated_IsRefused) {
  WarmUp();
  (void)SendRequests(200, [this](const TargetId& target) {
    Finish(target, AttemptStatus::kShed);
  });
  // The backoff after the sheds is over, so only the shed rate refuses the
  // hedge.
  now += seconds(1);
  BOOST_TEST(router.IsSaturated(service));
  BOOST_TEST(!Choose(AttemptKind::kHedge, {replicas[0]}));
  BOOST_TEST((refusal == RouteRefusal::kNoBudget));
}

// Every target fails. Without a budget each call would retry on each replica
// and triple the load on the remaining targets. Retries must stay at a tenth of
// the first attempts.
BOOST_AUTO_TEST_CASE(Choose_RetriesDuringAnOutage_StayWithinTheRetryBudget) {
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

BOOST_AUTO_TEST_CASE(Choose_HedgeForEveryRequest_StaysWithinTheHedgeBudget) {
  WarmUp();
  const auto before = router.counters().first_attempts;
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
  const auto first_attempts = router.counters().first_attempts - before;
  BOOST_TEST(router.counters().hedges <= first_attempts * 35 / 1000 + 21);
}

// A request is in flight at an unresponsive target, and the hedge budget is
// spent. If the hedge were refused, the caller would wait until the deadline.
// It replaces a lost request, so it is charged to the retry budget.
BOOST_AUTO_TEST_CASE(Choose_FailoverFromUnresponsiveTarget_NeedsNoHedgeBudget) {
  WarmUp();
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

// Two replicas shed and the third is ejected. An immediate retry would find the
// same full queues, or go to the lost target and get no reply. It must wait.
BOOST_AUTO_TEST_CASE(Choose_RetryAfterShedsAndEjection_WaitsForTheShedBackoff) {
  (void)SendRequests(2000, [this](const TargetId& target) {
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

BOOST_AUTO_TEST_CASE(Choose_RetryWithNoUntriedReplica_ReusesATriedOne) {
  const auto retry = Choose(AttemptKind::kRetry, replicas);
  BOOST_TEST(retry.has_value());
  BOOST_TEST(!Choose(AttemptKind::kHedge, replicas).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
