// Tests that the hosts' shares stay within the targets' connection limits while
// hosts start and stop.
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

constexpr Duration kMembershipDelay = seconds(2);
constexpr Duration kConnectionLinger = seconds(5);

/*! \brief Host with the connections that its current and its previous process
 * hold at the target. */
struct FakeHost {
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
    target.connection_open_time = milliseconds(6);
  }

  void Start(internal::FakeHost& host) {
    RouterOptions options;
    options.startup_hold = 2 * internal::kMembershipDelay;
    host.router = std::make_unique<Router>(random.DrawSeed(), options);
    host.router->SetTargets({target}, now);
    host.router->SetHostCount(1, now);
    host.up = true;
  }

  void Stop(internal::FakeHost& host) const {
    host.up = false;
    host.lingering = host.held;
    host.lingers_until = now + internal::kConnectionLinger;
    host.held = 0;
    host.router.reset();
  }

  //! Lets each host open all connections of its share and close those above it.
  //! Returns the number of connections that the target counts.
  [[nodiscard]] std::uint32_t OpenAll() {
    std::uint32_t sum = 0;
    for (internal::FakeHost& host : hosts) {
      if (host.up) {
        host.held =
            host.router->ConnectionPlanFor(target.id, now).max_connections;
        // The send path reads only the limit, so it must match the plan.
        BOOST_TEST(host.router->ConnectionLimit(target.id, now) == host.held);
      }
      sum += host.held + (now < host.lingers_until ? host.lingering : 0);
    }
    return sum;
  }

  [[nodiscard]] std::uint32_t CountUp() const {
    return static_cast<std::uint32_t>(
        std::ranges::count_if(hosts, &internal::FakeHost::up));
  }

  void Tick(std::vector<std::uint32_t>& count_history) {
    now += milliseconds(100);
    count_history.push_back(CountUp());
    const std::size_t delay_ticks =
        internal::kMembershipDelay / milliseconds(100);
    const std::uint32_t known_count =
        count_history.size() > delay_ticks
            ? count_history[count_history.size() - 1 - delay_ticks]
            : 1;
    for (const internal::FakeHost& host : hosts) {
      if (host.up) {
        host.router->SetHostCount(std::max(1U, known_count), now);
      }
    }
  }

  TargetInfo target;
  Random random{7};
  TimePoint now{};
  std::vector<internal::FakeHost> hosts{8};
};

BOOST_FIXTURE_TEST_SUITE(ConnectionPlanTest, ConnectionPlanFixture)

// Six to eight hosts start, stop and restart one at a time. Each learns of the
// others two seconds late, and the target counts the connections of a stopped
// process for five more seconds. In any order, the sum of the connections must
// stay within the target's limit. Otherwise the target refuses connections at
// random, and callers see failures at every restart.
BOOST_AUTO_TEST_CASE(
    ConnectionPlanFor_HostsStartAndStop_SumStaysWithinTheLimit) {
  for (const std::uint32_t limit : {25U, 30U, 35U, 100U}) {
    target.connections = limit;
    hosts = std::vector<internal::FakeHost>(8);
    std::vector<std::uint32_t> count_history;
    std::uint32_t highest = 0;
    for (int second = 0; second < 1200; ++second) {
      if (second % 6 == 0) {
        internal::FakeHost& host = hosts[random.Below(8)];
        if (!host.up) {
          Start(host);
        } else if (CountUp() > 6) {
          Stop(host);
        } else {
          Stop(host);
          Start(host);
        }
      }
      for (int tick = 0; tick < 10; ++tick) {
        Tick(count_history);
        highest = std::max(highest, OpenAll());
        BOOST_REQUIRE(highest <= limit);
      }
    }
    BOOST_TEST(highest > limit / 2);
  }
}

// No connection may be opened to a leaving or an unknown target.
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

BOOST_AUTO_TEST_CASE(
    ConnectionPlanFor_AllHostsStartAtOnce_SumStaysWithinTheLimit) {
  for (internal::FakeHost& host : hosts) {
    Start(host);
  }
  std::vector<std::uint32_t> count_history;
  for (int tick = 0; tick < 600; ++tick) {
    Tick(count_history);
    BOOST_REQUIRE(OpenAll() <= target.connections);
  }
  BOOST_TEST(OpenAll() == 24U);
}

// Eight hosts open idle connections to a restarted target, which accepts one at
// a time in 6 ms. Connections opened at the same time would delay the first
// request in the accept queue, so they must be spread.
BOOST_AUTO_TEST_CASE(PlanConnections_ManyHosts_OpeningsAreSpread) {
  std::vector<Duration> delays;
  for (int i = 0; i < 8; ++i) {
    const ConnectionPlan plan = PlanConnections(target, 3, 8, random);
    BOOST_TEST((plan.first_open_delay < milliseconds(54)));
    BOOST_TEST((plan.open_interval == milliseconds(54)));
    BOOST_TEST(plan.idle_spares == 1U);
    delays.push_back(plan.first_open_delay);
  }
  const auto [shortest, longest] = std::ranges::minmax(delays);
  BOOST_TEST((longest - shortest > milliseconds(20)));
}

BOOST_AUTO_TEST_CASE(PlanConnections_LeavingTarget_OpensNothing) {
  target.state = TargetState::kLeaving;
  BOOST_TEST((PlanConnections(target, 3, 8, random) == ConnectionPlan()));
}

BOOST_AUTO_TEST_CASE(ConnectionShare_LimitBelowHostCount_IsOne) {
  BOOST_TEST(ConnectionShare(30, 590) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
