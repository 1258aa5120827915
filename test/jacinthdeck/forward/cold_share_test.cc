// Tests of the share of hosts that do not ask one another.
#include "jacinthdeck/forward/cold_share.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <string>
#include <vector>

#include "jacinthdeck/core/random.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! Hosts that each want to send to one target every few milliseconds.
struct Senders {
  struct Host {
    HostId name;
    ColdShare share;
    TimePoint last;
    bool alive = true;
  };

  const TargetId target;
  const double bound;
  Random random;
  std::vector<Host> hosts;
  TimePoint now{seconds(100)};
  //! Of the last second.
  std::deque<TimePoint> arrivals;
  std::size_t most = 0;
  std::size_t sent = 0;

  Senders(std::uint64_t seed, std::size_t count, double requests)
      : target("t" + std::to_string(seed)), bound(requests), random(seed) {
    for (std::size_t i = 0; i < count; ++i) {
      Add();
    }
    for (Host& host : hosts) {
      Tell(host);
    }
  }

  void Add() {
    hosts.push_back({HostId("h" + std::to_string(hosts.size())), {}, {}, true});
  }

  //! Gives a host the list of those that live.
  void Tell(Host& host) const {
    std::vector<HostId> names;
    for (const Host& other : hosts) {
      if (other.alive) {
        names.push_back(other.name);
      }
    }
    host.share.SetHosts(host.name, names);
  }

  void Step() {
    now += milliseconds(2);
    for (Host& host : hosts) {
      const bool wants = host.alive && random.Unit() < 0.5;
      if (wants && host.share.MaySend(target, bound, host.last, now)) {
        host.last = now;
        arrivals.push_back(now);
        ++sent;
      }
    }
    while (!arrivals.empty() && arrivals.front() + seconds(1) <= now) {
      arrivals.pop_front();
    }
    most = std::max(most, arrivals.size());
  }

  void Run(Duration span) {
    const TimePoint end = now + span;
    while (now < end) {
      Step();
    }
  }
};

//! What a target bears in one second, of a bound.
[[nodiscard]] double MostInASecond(double bound) {
  constexpr double kOvershoot = 1.5;
  constexpr double kSlack = 5;
  return bound * kOvershoot + kSlack;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ColdShareTest)

// Guards against a sum over many hosts that crashes a cold target.
BOOST_AUTO_TEST_CASE(Rate_AnyNumberOfHosts_SumKeepsTheBoundAndUsesIt) {
  for (const std::size_t count : {1, 6, 70, 300}) {
    for (const double bound : {0.5, 3.0, 20.0, 90.0}) {
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Senders senders(seed, count, bound);
        senders.Run(seconds(4));
        BOOST_TEST(static_cast<double>(senders.most) <= MostInASecond(bound));
        BOOST_TEST(static_cast<double>(senders.sent) >= 4 * bound * 0.75);
      }
    }
  }
}

// Guards against hosts that know different lists and all believe that they are
// appointed: some are killed, others join, and each hears of it at its own
// time.
BOOST_AUTO_TEST_CASE(Rate_HostsJoinAndAreKilledMeanwhile_SumKeepsTheBound) {
  for (const std::size_t count : {6, 70, 300}) {
    for (const double bound : {3.0, 20.0, 90.0}) {
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Senders senders(seed, count, bound);
        senders.Run(seconds(1));
        for (std::size_t i = 0; i < count / 3; ++i) {
          senders.hosts[3 * i].alive = false;
          senders.Add();
        }
        for (int turn = 0; turn < 20; ++turn) {
          for (Senders::Host& host : senders.hosts) {
            if (senders.random.Unit() < 0.2) {
              senders.Tell(host);
            }
          }
          senders.Run(milliseconds(150));
        }
        BOOST_TEST(static_cast<double>(senders.most) <= MostInASecond(bound));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(Rate_HostIsNotInTheList_IsZero) {
  ColdShare share;
  share.SetHosts(HostId("h1"), std::vector<HostId>{HostId("h2")});
  BOOST_TEST(share.RateOf(TargetId("t"), 50) == 0);
  BOOST_TEST(!share.MaySend(TargetId("t"), 50, TimePoint{}, TimePoint::max()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
