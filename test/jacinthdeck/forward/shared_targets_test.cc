// Load of several hosts on targets that they share, in model time: the patterns
// of users' heaviest days. Each case names its figures in forward_cases.h.
#include <boost/test/unit_test.hpp>

#include "support/forward_cases.h"
#include "support/forward_model.h"

namespace jacinthdeck {

BOOST_AUTO_TEST_SUITE(SharedTargetsTest)

namespace {

constexpr std::uint64_t kSeeds = 4;

}  // namespace

// One shard is dark, so a search needs all nine others, and each of those has a
// slow target. Callers see answers with nine shards, worth 0.81 at most; hosts
// that send to slow targets, or hedge once, wait beyond the objective for the
// ninth. The users' aim is 0.74.
BOOST_AUTO_TEST_CASE(Fleet_ShardDownAndSlowTargets_AnswersStayInTime) {
  const auto result = bench::RunSeeds(bench::DarkShardAndSlowTargets(), kSeeds);
  BOOST_TEST(result.value() >= 0.74);
  BOOST_TEST(result.budget_used <= 1.0);
}

// Two of three targets in half of the shards refuse most requests at once. Each
// refusal that is tried again is an extra request, so the budget is what binds:
// the hosts together must stay within it.
BOOST_AUTO_TEST_CASE(Fleet_IdleTargetsShed_ExtraAttemptsStayWithinBudget) {
  const auto result = bench::RunSeeds(bench::SheddingTargets(), kSeeds);
  BOOST_TEST(result.budget_used <= 1.0);
  BOOST_TEST(result.value() >= 0.74);
}

// Nothing is wrong but the usual pauses of each target. Nobody is refused, one
// answer in a hundred may be late, and hedges stay far below the budget.
BOOST_AUTO_TEST_CASE(Fleet_NormalLoad_NoCallIsRefused) {
  const auto result = bench::RunSeeds(bench::DeskSearch(180), kSeeds);
  BOOST_TEST(result.refused == 0U);
  BOOST_TEST(static_cast<double>(result.in_time) >=
             0.99 * static_cast<double>(result.calls));
  BOOST_TEST(result.budget_used <= 1.0);
}

// Four of 270 targets stand still at any moment, so that hardly a call over 90
// shards meets none. Callers see answers that lack a shard or two: its first
// target paused, and no hedge was sent, since the others had paused a moment
// before. All targets are well and idle, so the users' aim holds: 99 of 100
// answers in time, and so much of what whole ones would be worth.
BOOST_AUTO_TEST_CASE(Fleet_ManyShardsWithPauses_AnswersAreCompleteAndInTime) {
  const auto result = bench::RunSeeds(bench::ManyShards(), 1);
  BOOST_TEST(static_cast<double>(result.in_time) >=
             0.99 * static_cast<double>(result.calls));
  BOOST_TEST(result.value() >= 0.99);
  BOOST_TEST(result.budget_used <= 1.0);
}

// Guards against first attempts that leave the failure domain although its
// target answers in good time; half of what they were is the users' aim.
BOOST_AUTO_TEST_CASE(Fleet_TargetsPauseOccasionally_FirstAttemptsStayInDomain) {
  constexpr double kUnimprovedShare = 0.34;
  const auto result = bench::RunSeeds(bench::SearchesAndChecks(), kSeeds);
  BOOST_TEST(result.crossing_share() <= kUnimprovedShare / 2);
  BOOST_TEST(result.refused == 0U);
  BOOST_TEST(static_cast<double>(result.in_time) >=
             0.99 * static_cast<double>(result.calls));
  BOOST_TEST(result.value() >= 0.99);
}

// A route to a shard's service is added while that shard has one target left.
// Its callers are told "not run, come back" at once, again and again, although
// the work is a millisecond and they would wait a second: searches, which can
// do without the shard, hold this host's places at the target, and the wait
// for one is reckoned as if the target did the added route's work, of which
// nothing is known. They must be served as often as the searches are.
BOOST_AUTO_TEST_CASE(Fleet_ShardWithOneTarget_SingleServiceCallsAreServed) {
  constexpr std::size_t kSearch = 0;
  constexpr std::size_t kSingleService = 2;
  const auto result = bench::RunSeeds(bench::LoneTargetOfAShard(), kSeeds);
  BOOST_TEST(result.kinds[kSingleService].calls > 100U);
  BOOST_TEST(result.kinds[kSingleService].served_share() >=
             0.95 * result.kinds[kSearch].served_share());
}

// The same with 58 hosts, each of which may hold one connection to a target. A
// search holds it for as long as it takes, so that a call for the service alone
// must wait for it: it is admitted, since a place is free within a search's
// time, and served as often as the searches are.
BOOST_AUTO_TEST_CASE(Fleet_OneConnectionPerHost_SingleServiceCallsAreServed) {
  constexpr std::size_t kSearch = 0;
  constexpr std::size_t kSingleService = 2;
  bench::ForwardCase load = bench::LoneTargetOfAShard();
  load.hosts = 58;
  load.shards = 36;
  load.slots = 4;
  load.connections = 61;
  const auto result = bench::RunSeeds(load, kSeeds);
  BOOST_TEST(result.kinds[kSingleService].calls > 100U);
  BOOST_TEST(result.kinds[kSingleService].served_share() >=
             0.95 * result.kinds[kSearch].served_share());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
