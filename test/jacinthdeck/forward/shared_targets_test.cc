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
BOOST_AUTO_TEST_CASE(Fleet_DarkShardAndSlowTargets_AnswersStayInTime) {
  const auto result = bench::RunSeeds(bench::DarkShardAndSlowTargets(), kSeeds);
  BOOST_TEST(result.value() >= 0.74);
  BOOST_TEST(result.budget_used <= 1.0);
}

// Two of three targets in half of the shards refuse most requests at once. Each
// refusal that is tried again is an extra request, so the budget is what binds:
// the hosts together must stay within it.
BOOST_AUTO_TEST_CASE(Fleet_TargetsShedWhileIdle_BudgetHolds) {
  const auto result = bench::RunSeeds(bench::SheddingTargets(), kSeeds);
  BOOST_TEST(result.budget_used <= 1.0);
  BOOST_TEST(result.value() >= 0.74);
}

// Nothing is wrong but the usual pauses of each target. Nobody is refused, one
// answer in a hundred may be late, and hedges stay far below the budget.
BOOST_AUTO_TEST_CASE(Fleet_CalmDay_NobodyIsRefused) {
  const auto result = bench::RunSeeds(bench::DeskSearch(180), kSeeds);
  BOOST_TEST(result.refused == 0U);
  BOOST_TEST(static_cast<double>(result.in_time) >=
             0.99 * static_cast<double>(result.calls));
  BOOST_TEST(result.budget_used <= 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
