// Tests of the weighted fair queue.
#include "jacinthdeck/routing/fair_queue.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace jacinthdeck {

struct FairQueueFixture {
  struct Item {
    std::uint64_t id = 0;
    std::string tenant;
  };

  FairQueue<Item, std::string> queue{10};
  std::uint64_t next = 1;

  static double WeightOf(const std::string& tenant) {
    return tenant == "heavy" ? 3.0 : 1.0;
  }

  std::uint64_t Add(const std::string& tenant,
                    int deadline_ms = 100,
                    double cost = 1,
                    std::uint32_t rank = 0) {
    const std::uint64_t id = next++;
    queue.Add({.flow = tenant,
               .weight = WeightOf(tenant),
               .cost = cost,
               .deadline = TimePoint() + std::chrono::milliseconds(deadline_ms),
               .rank = rank,
               .item = {id, tenant}});
    return id;
  }

  bool ExceedsShare(const std::string& tenant) const {
    return queue.ExceedsShare(tenant, WeightOf(tenant));
  }

  std::string TakeTenants(int count) {
    std::string taken;
    for (int i = 0; i < count; ++i) {
      taken += queue.TakeNext().tenant.front();
    }
    return taken;
  }
};

BOOST_FIXTURE_TEST_SUITE(FairQueueTest, FairQueueFixture)

BOOST_AUTO_TEST_CASE(TakeNext_OneTenant_EarliestDeadlineFirst) {
  const std::uint64_t late = Add("a", 90);
  const std::uint64_t early = Add("a", 30);
  BOOST_TEST((queue.TakeNext().id == early));
  BOOST_TEST((queue.TakeNext().id == late));
}

BOOST_AUTO_TEST_CASE(TakeNext_WeightedTenants_StartsFollowTheWeights) {
  for (int i = 0; i < 4; ++i) {
    Add("heavy");
    Add("light");
  }
  const std::string taken = TakeTenants(4);
  BOOST_TEST(std::ranges::count(taken, 'h') == 3);
}

// Starts are weighted by cost: a call to ten shards uses as much target
// capacity as ten calls to one shard.
BOOST_AUTO_TEST_CASE(TakeNext_CostlyCalls_CountByTheirCost) {
  for (int i = 0; i < 4; ++i) {
    Add("wide", 100, 3);
    Add("narrow", 100, 1);
  }
  const std::string taken = TakeTenants(4);
  BOOST_TEST(std::ranges::count(taken, 'n') == 3);
}

// One tenant adds a new call whenever its last one started, and another has a
// backlog. If the first tenant's virtual time were reset each time, its calls
// would always go first and the backlog would never start.
BOOST_AUTO_TEST_CASE(TakeNext_TenantReturnsAtOnce_BacklogIsNotStarved) {
  for (int i = 0; i < 5; ++i) {
    Add("heavy");
  }
  int heavy = 0;
  for (int i = 0; i < 6; ++i) {
    Add("returns");
    heavy += TakeTenants(1) == "h" ? 1 : 0;
    while (queue.CountOf("returns") > 0 && heavy < 4) {
      heavy += TakeTenants(1) == "h" ? 1 : 0;
    }
  }
  BOOST_TEST(heavy >= 4);
}

BOOST_AUTO_TEST_CASE(TakeExcess_QueueFull_LatestCallOfTheTenantOverItsShare) {
  for (int i = 0; i < 9; ++i) {
    Add("flood", 10 + i);
  }
  Add("other", 500);
  BOOST_TEST(queue.full());
  BOOST_TEST(ExceedsShare("flood"));
  BOOST_TEST(!ExceedsShare("other"));
  const Item excess = queue.TakeExcess();
  BOOST_TEST(excess.tenant == "flood");
  BOOST_TEST(excess.id == 9U);
}

BOOST_AUTO_TEST_CASE(TakeDueBy_OneDeadlineReached_TakesOnlyThatCall) {
  Add("a", 50);
  Add("b", 20);
  const TimePoint at = TimePoint() + std::chrono::milliseconds(20);
  BOOST_TEST(queue.TakeDueBy(at).has_value());
  BOOST_TEST(!queue.TakeDueBy(at).has_value());
  BOOST_TEST(queue.size() == 1U);
}

// A flow that keeps a call with a lower rank must not gain on other flows.
BOOST_AUTO_TEST_CASE(TakeNext_LowerRank_FirstOfItsFlowOnly) {
  Add("a", 30, 1, 1);
  const std::uint64_t preferred = Add("a", 90, 1, 0);
  Add("b", 50, 1, 1);
  BOOST_TEST(queue.Next().id == preferred);
  BOOST_TEST(TakeTenants(3) == "aba");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
