// Tests of the limits over a fleet whose messages are lost, late, repeated and
// reordered, and whose hosts fail.
#include <boost/test/unit_test.hpp>
#include <numeric>
#include <vector>

#include "support/rate_fleet.h"

namespace jacinthdeck::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Sums {
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
};

struct RateFleetFixture {
  RateFleetOptions options;
  Sums sums;

  void UseSize(std::uint32_t hosts, std::uint32_t fronts) {
    options.hosts = hosts;
    options.fronts = fronts;
  }

  //! Lets callers send until the fleet's buckets have filled.
  static void WarmUp(RateFleet& fleet) {
    fleet.SetCallers(true);
    fleet.RunFor(seconds(6));
    fleet.ForgetCounts();
  }

  void Check(const RateFleet& fleet) {
    const RateFleetResult result = fleet.Result();
    BOOST_TEST(result.worst_window <= 1.0,
               "seed " << options.seed << ": " << result.worst_window);
    sums.requests += result.within;
    sums.refused += result.limited_within + result.unknown_within;
  }

  //! Runs a scenario with several seeds.
  template <typename Scenario>
  void RunSeeds(std::uint32_t seeds, Scenario scenario) {
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
      RateFleet fleet(options);
      WarmUp(fleet);
      scenario(fleet);
      Check(fleet);
    }
    BOOST_TEST_MESSAGE(sums.refused << " of " << sums.requests);
  }

  template <typename Scenario>
  void ExpectFewRefused(std::uint32_t seeds, Scenario scenario) {
    RunSeeds(seeds, scenario);
    BOOST_TEST(sums.refused * 1000 < sums.requests,
               sums.refused << " of " << sums.requests);
  }

  [[nodiscard]] std::vector<std::uint32_t> FirstHosts(
      std::uint32_t count) const {
    std::vector<std::uint32_t> hosts(count);
    std::iota(hosts.begin(), hosts.end(), 0);
    return hosts;
  }

  void CutOffThird(RateFleet& fleet) const {
    fleet.CutOff(0, options.fronts / 3);
    fleet.RunFor(seconds(5));
    fleet.Reconnect();
    fleet.RunFor(seconds(6));
  }

  void KillAllocator(RateFleet& fleet) const {
    fleet.Kill(fleet.AllocatorOf(0));
    fleet.RunFor(seconds(10));
  }

  void RestartAll(RateFleet& fleet, Duration down) const {
    for (std::uint32_t i = 0; i < options.hosts; ++i) {
      fleet.Kill(i);
    }
    fleet.RunFor(down);
    for (std::uint32_t i = 0; i < options.hosts; ++i) {
      fleet.Start(i);
    }
    fleet.RunFor(seconds(10));
  }
};

BOOST_FIXTURE_TEST_SUITE(RateFleetTest, RateFleetFixture)

// Guards against refusals of callers within their limit.
BOOST_AUTO_TEST_CASE(Calm_SixHosts_NoneRefused) {
  UseSize(6, 6);
  RunSeeds(1, [](RateFleet& fleet) { fleet.RunFor(seconds(960)); });
  BOOST_TEST(sums.requests >= 100000U);
  BOOST_TEST(sums.refused == 0U);
}

BOOST_AUTO_TEST_CASE(Calm_SeventySixHosts_NoneRefused) {
  UseSize(76, 8);
  RunSeeds(1, [](RateFleet& fleet) { fleet.RunFor(seconds(960)); });
  BOOST_TEST(sums.requests >= 100000U);
  BOOST_TEST(sums.refused == 0U);
}

// Guards against an account whose excess is admitted, or that is held below
// its limit while it sends more.
BOOST_AUTO_TEST_CASE(EightTimes_SeventySixHosts_OthersServedAndLimitHeld) {
  UseSize(76, 8);
  ExpectFewRefused(6, [](RateFleet& fleet) {
    fleet.SetFactor(1, 8);
    const std::size_t before = fleet.accounts()[1].admitted.size();
    fleet.RunFor(seconds(6));
    const auto admitted = fleet.accounts()[1].admitted.size() - before;
    BOOST_TEST(static_cast<double>(admitted) >=
               0.95 * 6 * fleet.accounts()[1].rate);
    fleet.SetFactor(1, 1);
    fleet.RunFor(seconds(6));
  });
}

// Guards against hosts that are cut off and refuse, or admit too much together.
BOOST_AUTO_TEST_CASE(ThirdCutOff_SixHosts_FewRefused) {
  UseSize(6, 6);
  ExpectFewRefused(6, [this](RateFleet& fleet) { CutOffThird(fleet); });
}

BOOST_AUTO_TEST_CASE(ThirdCutOff_SeventySixHosts_FewRefused) {
  UseSize(76, 8);
  ExpectFewRefused(6, [this](RateFleet& fleet) { CutOffThird(fleet); });
}

BOOST_AUTO_TEST_CASE(ThirdCutOff_AccountsAtEightTimes_WithinBound) {
  UseSize(76, 8);
  RunSeeds(4, [this](RateFleet& fleet) {
    fleet.SetFactor(0, 8);
    fleet.SetFactor(20, 8);
    fleet.SetFactor(79, 80);
    CutOffThird(fleet);
  });
}

// Guards against refusals between the end of an allocator and the start of the
// next one.
BOOST_AUTO_TEST_CASE(AllocatorKilled_SixHosts_FewRefused) {
  UseSize(6, 6);
  ExpectFewRefused(6, [this](RateFleet& fleet) { KillAllocator(fleet); });
}

BOOST_AUTO_TEST_CASE(AllocatorKilled_SeventySixHosts_FewRefused) {
  UseSize(76, 8);
  ExpectFewRefused(6, [this](RateFleet& fleet) { KillAllocator(fleet); });
}

// Guards against small accounts refused because all buckets are empty.
BOOST_AUTO_TEST_CASE(AllRestarted_SixHosts_FewRefused) {
  UseSize(6, 6);
  ExpectFewRefused(6,
                   [this](RateFleet& fleet) { RestartAll(fleet, seconds(1)); });
}

BOOST_AUTO_TEST_CASE(AllRestarted_SeventySixHosts_FewRefused) {
  UseSize(76, 8);
  ExpectFewRefused(6,
                   [this](RateFleet& fleet) { RestartAll(fleet, seconds(1)); });
}

// Guards against reserves that are spent before and after a restart.
BOOST_AUTO_TEST_CASE(AllRestarted_AccountsAtEightTimes_WithinBound) {
  UseSize(76, 8);
  RunSeeds(4, [this](RateFleet& fleet) {
    fleet.SetFactor(0, 8);
    fleet.SetFactor(20, 8);
    fleet.SetFactor(79, 80);
    fleet.RunFor(seconds(3));
    RestartAll(fleet, milliseconds(100));
  });
}

// Guards against an old limit that stays in force at an allocator.
BOOST_AUTO_TEST_CASE(LimitLowered_EightTimes_LowerLimitHolds) {
  UseSize(76, 8);
  RunSeeds(4, [](RateFleet& fleet) {
    fleet.SetFactor(0, 8);
    fleet.RunFor(seconds(3));
    fleet.SetLimit(0, fleet.accounts()[0].rate / 4, milliseconds(500));
    fleet.RunFor(seconds(15));
  });
}

// Guards against shares that sum to more than the limit while hosts differ on
// how many they are.
BOOST_AUTO_TEST_CASE(HostsJoin_EightTimes_WithinBound) {
  UseSize(76, 8);
  RunSeeds(4, [this](RateFleet& fleet) {
    fleet.SetFactor(0, 8);
    fleet.SetFactor(40, 8);
    fleet.RunFor(seconds(3));
    auto fronts = FirstHosts(options.fronts);
    for (int i = 0; i < 4; ++i) {
      const std::uint32_t host = fleet.AddHost();
      fleet.Start(host);
      fronts.push_back(host);
      fleet.ListFronts(fronts, seconds(1));
      fleet.RunFor(seconds(2));
    }
    fleet.RunFor(seconds(30));
  });
}

// Guards against hosts that wake up and use leases which have expired.
BOOST_AUTO_TEST_CASE(HalfPaused_EightTimes_WithinBound) {
  UseSize(76, 8);
  RunSeeds(4, [](RateFleet& fleet) {
    fleet.SetFactor(0, 8);
    fleet.SetFactor(20, 8);
    fleet.RunFor(seconds(3));
    for (std::uint32_t i = 0; i < 4; ++i) {
      fleet.Pause(i);
    }
    fleet.RunFor(seconds(3));
    for (std::uint32_t i = 0; i < 4; ++i) {
      fleet.Resume(i);
    }
    fleet.RunFor(seconds(6));
  });
}

// Guards against messages that count twice or extend a lease.
BOOST_AUTO_TEST_CASE(LostLateAndRepeated_SixHosts_FewRefusedAndWithinBound) {
  UseSize(6, 6);
  options.loss = 0.03;
  options.repeats = 0.03;
  options.late = 0.02;
  ExpectFewRefused(3, [](RateFleet& fleet) {
    fleet.SetFactor(0, 8);
    fleet.RunFor(seconds(20));
  });
}

BOOST_AUTO_TEST_CASE(ThreeHundredHosts_EightTimesAndThirdCutOff_WithinBound) {
  UseSize(300, 60);
  RunSeeds(1, [this](RateFleet& fleet) {
    fleet.SetFactor(0, 8);
    fleet.SetFactor(60, 8);
    CutOffThird(fleet);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace

}  // namespace jacinthdeck::bench
