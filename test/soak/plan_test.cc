// Tests of the plans that the soak generates.
#include "soak/plan.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <set>
#include <vector>

namespace jacinthdeck::soak {

struct PlanFixture {
  PlanOptions options;
};

BOOST_FIXTURE_TEST_SUITE(PlanTest, PlanFixture)

BOOST_AUTO_TEST_CASE(Plan_SameSeed_IsTheSame) {
  options.seed = 7;
  BOOST_TEST((MakePlan(options) == MakePlan(options)));
}

BOOST_AUTO_TEST_CASE(Plan_AnySeed_IsSortedAndWithinItsLength) {
  for (options.seed = 1; options.seed <= 100; ++options.seed) {
    const std::vector<Action> plan = MakePlan(options);
    BOOST_TEST(plan.size() >= options.faults);
    BOOST_TEST(std::ranges::is_sorted(plan, {}, &Action::at));
    BOOST_TEST((plan.back().at <= options.length));
  }
}

BOOST_AUTO_TEST_CASE(Plan_HoldsEvacuations_FaultsOfItsSeedAreTheSame) {
  options.seed = 7;
  const std::vector<Action> faults = MakePlan(options);
  options.evacuations = 3;
  std::vector<Action> plan = MakePlan(options);
  BOOST_TEST(plan.size() == faults.size() + 6);
  std::erase_if(plan, [](const Action& action) {
    return action.kind == ActionKind::kEvacuate ||
           action.kind == ActionKind::kEndEvacuation;
  });
  BOOST_TEST((plan == faults));
}

BOOST_AUTO_TEST_CASE(Plan_HoldsRestores_EachFollowsACopyOfItsOwn) {
  options.faults = 0;
  options.restores = 3;
  for (options.seed = 1; options.seed <= 20; ++options.seed) {
    int copies = 0;
    int restores = 0;
    for (const Action& action : MakePlan(options)) {
      copies += action.kind == ActionKind::kCopyStore ? 1 : 0;
      restores += action.kind == ActionKind::kRestoreStore ? 1 : 0;
      BOOST_TEST(restores <= copies);
    }
    BOOST_TEST(restores == 3);
  }
}

BOOST_AUTO_TEST_CASE(Plan_HoldsRestores_OperatorsWriteAgainAtDrawnTimes) {
  options.faults = 0;
  options.restores = 3;
  std::set<Duration> times;
  for (options.seed = 1; options.seed <= 20; ++options.seed) {
    for (const Action& action : MakePlan(options)) {
      if (action.kind == ActionKind::kRestoreStore) {
        times.insert(action.rewritten_after);
      }
    }
  }
  BOOST_TEST(times.size() > 50U);
  options.rewritten_after = std::chrono::milliseconds(1200);
  for (const Action& action : MakePlan(options)) {
    BOOST_TEST((action.kind != ActionKind::kRestoreStore ||
                action.rewritten_after == *options.rewritten_after));
  }
}

// Guards against account changes that shift the faults of the seeds in
// soak/seeds.txt.
BOOST_AUTO_TEST_CASE(Plan_HoldsAccountChanges_OtherActionsAreTheSame) {
  options.seed = 7;
  options.evacuations = 2;
  options.restores = 1;
  const std::vector<Action> others = MakePlan(options);
  options.account_changes = 4;
  std::vector<Action> plan = MakePlan(options);
  BOOST_TEST(plan.size() == others.size() + 4);
  std::erase_if(plan, [](const Action& action) {
    return action.kind == ActionKind::kRemoveKey ||
           action.kind == ActionKind::kAddKey ||
           action.kind == ActionKind::kLowerLimit;
  });
  BOOST_TEST((plan == others));
}

// Guards against rolling restarts that shift the faults of the seeds in
// soak/seeds.txt.
BOOST_AUTO_TEST_CASE(Plan_HoldsRollingRestarts_OtherActionsAreTheSame) {
  options.seed = 7;
  options.account_changes = 2;
  const std::vector<Action> others = MakePlan(options);
  options.rolling = 2;
  std::vector<Action> plan = MakePlan(options);
  BOOST_TEST(plan.size() == others.size() + 2 * (2 * options.entries + 1));
  for (const Action& action : others) {
    const auto same = std::ranges::find(plan, action);
    BOOST_REQUIRE((same != plan.end()));
    plan.erase(same);
  }
  BOOST_TEST(std::ranges::all_of(plan, [](const Action& action) {
    return action.kind == ActionKind::kDrainEntry ||
           action.kind == ActionKind::kStartEntry ||
           action.kind == ActionKind::kReshard;
  }));
}

// Guards against stops whose answers reach the callers without any delay.
BOOST_AUTO_TEST_CASE(Plan_HoldsRollingRestarts_LinksOfStoppingEntriesAreSlow) {
  std::set<Duration> delays;
  options.rolling = 3;
  options.faults = 0;
  for (options.seed = 1; options.seed <= 20; ++options.seed) {
    for (const Action& action : MakePlan(options)) {
      if (action.kind == ActionKind::kDrainEntry) {
        BOOST_TEST((action.link_delay >= std::chrono::milliseconds(20)));
        BOOST_TEST((action.link_delay <= std::chrono::milliseconds(150)));
        delays.insert(action.link_delay);
      }
    }
  }
  BOOST_TEST(delays.size() > 50U);
}

// Guards against restarts that wait for each other, so that never two entries
// stop at a time.
BOOST_AUTO_TEST_CASE(Plan_HoldsARollingRestart_StopsOfEntriesOverlap) {
  constexpr Duration kStop = std::chrono::milliseconds(2083);
  options.faults = 0;
  options.rolling = 1;
  for (const std::size_t entries : {4U, 24U}) {
    options.entries = entries;
    for (options.seed = 1; options.seed <= 50; ++options.seed) {
      std::vector<Action> plan = MakePlan(options);
      BOOST_TEST((plan.back().at <= options.length));
      std::erase_if(plan, [](const Action& action) {
        return action.kind != ActionKind::kDrainEntry;
      });
      BOOST_REQUIRE(plan.size() == entries);
      for (std::size_t i = 1; i < entries; ++i) {
        BOOST_TEST(plan[i].subject == i);
        BOOST_TEST((plan[i].at - plan[i - 1].at < kStop));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(Plans_OfFiftySeeds_HoldEveryAction) {
  options.evacuations = 1;
  options.restores = 1;
  options.account_changes = 2;
  std::set<ActionKind> seen;
  for (options.seed = 1; options.seed <= 50; ++options.seed) {
    for (const Action& action : MakePlan(options)) {
      seen.insert(action.kind);
    }
  }
  BOOST_TEST(seen.size() == kActionNames.names.size());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::soak
