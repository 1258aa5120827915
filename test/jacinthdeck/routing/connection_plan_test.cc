// Tests that the entries' shares fit the targets' limits while entries come and
// go.
#include "jacinthdeck/routing/connection_plan.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

#include "jacinthdeck/routing/router.h"

namespace jacinthdeck {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace internal {

constexpr Duration kViewLag = seconds(2);
constexpr Duration kLinger = seconds(5);

/*! \brief One entry host with the connections that its present and former life
 * hold at the target. */
struct FakeEntry {
  std::unique_ptr<Router> router;
  bool up = false;
  std::uint32_t held = 0;
  std::uint32_t lingering = 0;
  TimePoint lingers_until{};
};

}  // namespace internal

struct ConnectionPlanFixture {
  explicit ConnectionPlanFixture(std::uint32_t connections = 30) {
    target.id = TargetId("t-0-a");
    target.slots = 3;
    target.connections = connections;
    target.open_cost = milliseconds(6);
  }

  void Start(internal::FakeEntry& entry) {
    RouterOptions options;
    options.newcomer_hold = 2 * internal::kViewLag;
    entry.router = std::make_unique<Router>(random.DrawSeed(), options);
    entry.router->SetTargets({target}, now);
    entry.router->SetEntryCount(1, now);
    entry.up = true;
  }

  void Stop(internal::FakeEntry& entry) const {
    entry.up = false;
    entry.lingering = entry.held;
    entry.lingers_until = now + internal::kLinger;
    entry.held = 0;
    entry.router.reset();
  }

  //! Each entry opens all it may; idle connections above its share are closed.
  [[nodiscard]] std::uint32_t OpenAll() {
    std::uint32_t sum = 0;
    for (internal::FakeEntry& entry : entries) {
      if (entry.up) {
        entry.held = entry.router->PlanFor(target.id, now).max_connections;
        // The send path asks for the limit alone.
        BOOST_TEST(entry.router->ConnectionLimit(target.id, now) == entry.held);
      }
      sum += entry.held + (now < entry.lingers_until ? entry.lingering : 0);
    }
    return sum;
  }

  [[nodiscard]] std::uint32_t CountUp() const {
    return static_cast<std::uint32_t>(
        std::ranges::count_if(entries, &internal::FakeEntry::up));
  }

  void Tick(std::vector<std::uint32_t>& views) {
    now += milliseconds(100);
    views.push_back(CountUp());
    const std::size_t lag = internal::kViewLag / milliseconds(100);
    const std::uint32_t view =
        views.size() > lag ? views[views.size() - 1 - lag] : 1;
    for (const internal::FakeEntry& entry : entries) {
      if (entry.up) {
        entry.router->SetEntryCount(std::max(1U, view), now);
      }
    }
  }

  TargetInfo target;
  Random random{7};
  TimePoint now{};
  std::vector<internal::FakeEntry> entries{8};
};

BOOST_FIXTURE_TEST_SUITE(ConnectionPlanTest, ConnectionPlanFixture)

// Six to eight entries start, stop and restart one at a time, and each learns
// of the others two seconds late. A target counts the connections of a former
// life for five seconds more. Whatever the order, their sum must stay within
// the target's limit, or it refuses connections at random and callers see
// failures with every restart.
BOOST_AUTO_TEST_CASE(PlanFor_EntriesComeAndGo_SumStaysWithinTheLimit) {
  for (const std::uint32_t limit : {25U, 30U, 35U, 100U}) {
    target.connections = limit;
    entries = std::vector<internal::FakeEntry>(8);
    std::vector<std::uint32_t> views;
    std::uint32_t highest = 0;
    for (int second = 0; second < 1200; ++second) {
      if (second % 6 == 0) {
        internal::FakeEntry& entry = entries[random.Below(8)];
        if (!entry.up) {
          Start(entry);
        } else if (CountUp() > 6) {
          Stop(entry);
        } else {
          Stop(entry);
          Start(entry);
        }
      }
      for (int tick = 0; tick < 10; ++tick) {
        Tick(views);
        highest = std::max(highest, OpenAll());
        BOOST_REQUIRE(highest <= limit);
      }
    }
    BOOST_TEST(highest > limit / 2);
  }
}

// Nothing may be opened to a target that leaves or that nobody knows.
BOOST_AUTO_TEST_CASE(ConnectionLimit_TargetNotLiveOrUnknown_IsZero) {
  Router router(1);
  TargetInfo leaving = target;
  router.SetTargets({leaving}, now);
  BOOST_TEST(router.ConnectionLimit(target.id, now) > 0U);
  leaving.state = TargetState::kLeaving;
  router.SetTargets({leaving}, now);
  BOOST_TEST(router.ConnectionLimit(target.id, now) == 0U);
  BOOST_TEST(router.ConnectionLimit(TargetId("nobody"), now) == 0U);
}

BOOST_AUTO_TEST_CASE(PlanFor_AllEntriesStartAtOnce_SumStaysWithinTheLimit) {
  for (internal::FakeEntry& entry : entries) {
    Start(entry);
  }
  std::vector<std::uint32_t> views;
  for (int tick = 0; tick < 600; ++tick) {
    Tick(views);
    BOOST_REQUIRE(OpenAll() <= target.connections);
  }
  BOOST_TEST(OpenAll() == 24U);
}

// A target returns and eight entries open their spares. It takes 6 ms for each,
// one after the other. Opened at once they would queue up before the first
// request; they must be spread.
BOOST_AUTO_TEST_CASE(PlanConnections_ManyEntries_OpeningsAreSpread) {
  std::vector<Duration> delays;
  for (int i = 0; i < 8; ++i) {
    const ConnectionPlan plan = PlanConnections(target, 3, 8, random);
    BOOST_TEST((plan.first_open_delay < milliseconds(54)));
    BOOST_TEST((plan.open_interval == milliseconds(54)));
    BOOST_TEST(plan.warm_spares == 1U);
    delays.push_back(plan.first_open_delay);
  }
  const auto [least, most] = std::ranges::minmax(delays);
  BOOST_TEST((most - least > milliseconds(20)));
}

BOOST_AUTO_TEST_CASE(PlanConnections_LeavingTarget_OpensNothing) {
  target.state = TargetState::kLeaving;
  BOOST_TEST((PlanConnections(target, 3, 8, random) == ConnectionPlan()));
}

BOOST_AUTO_TEST_CASE(ConnectionShare_LimitBelowTheEntries_IsOne) {
  BOOST_TEST(ConnectionShare(30, 590) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
