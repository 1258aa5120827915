// Tests of the request rate that several hosts, which do not coordinate, send
// to a cold target.
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

//! Simulates hosts that each have a request for one target every few
//! milliseconds.
struct HostSimulation {
  struct Host {
    HostId name;
    ColdTargetLimiter limiter;
    TimePoint last_sent;
    bool alive = true;
  };

  const TargetId target;
  const double bound;
  Random random;
  std::vector<Host> hosts;
  TimePoint now{seconds(100)};
  //! Arrivals at the target in the last second.
  std::deque<TimePoint> arrivals;
  std::size_t max_per_second = 0;
  std::size_t total_sent = 0;

  HostSimulation(std::uint64_t seed, std::size_t count, double requests)
      : target("t" + std::to_string(seed)), bound(requests), random(seed) {
    for (std::size_t i = 0; i < count; ++i) {
      Add();
    }
    for (Host& host : hosts) {
      SendHostList(host);
    }
  }

  void Add() {
    hosts.push_back({HostId("h" + std::to_string(hosts.size())), {}, {}, true});
  }

  //! Gives a host the list of the hosts that are alive.
  void SendHostList(Host& host) const {
    std::vector<HostId> names;
    for (const Host& other : hosts) {
      if (other.alive) {
        names.push_back(other.name);
      }
    }
    host.limiter.SetHosts(host.name, names);
  }

  void Step() {
    now += milliseconds(2);
    for (Host& host : hosts) {
      const bool has_request = host.alive && random.Unit() < 0.5;
      if (has_request &&
          host.limiter.MaySend(target, bound, host.last_sent, now)) {
        host.last_sent = now;
        arrivals.push_back(now);
        ++total_sent;
      }
    }
    while (!arrivals.empty() && arrivals.front() + seconds(1) <= now) {
      arrivals.pop_front();
    }
    max_per_second = std::max(max_per_second, arrivals.size());
  }

  void Run(Duration span) {
    const TimePoint end = now + span;
    while (now < end) {
      Step();
    }
  }
};

//! Maximum number of requests that a target can handle in one second, for a
//! bound.
[[nodiscard]] double MaxPerSecond(double bound) {
  constexpr double kOvershoot = 1.5;
  constexpr double kSlack = 5;
  return bound * kOvershoot + kSlack;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ColdTargetLimiterTest)

// Guards against a sum of requests from many hosts that crashes a cold target.
BOOST_AUTO_TEST_CASE(ColdRate_AnyNumberOfHosts_SumStaysNearBound) {
  for (const std::size_t count : {1, 6, 70, 300}) {
    for (const double bound : {0.5, 3.0, 20.0, 90.0}) {
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        HostSimulation simulation(seed, count, bound);
        simulation.Run(seconds(4));
        BOOST_TEST(static_cast<double>(simulation.max_per_second) <=
                   MaxPerSecond(bound));
        BOOST_TEST(static_cast<double>(simulation.total_sent) >=
                   4 * bound * 0.75);
      }
    }
  }
}

// Guards against hosts with different host lists that all consider themselves
// selected: hosts are killed, others join, and each host learns of it at a
// different time.
BOOST_AUTO_TEST_CASE(ColdRate_HostListsDiffer_SumStaysWithinBound) {
  for (const std::size_t count : {6, 70, 300}) {
    for (const double bound : {3.0, 20.0, 90.0}) {
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        HostSimulation simulation(seed, count, bound);
        simulation.Run(seconds(1));
        for (std::size_t i = 0; i < count / 3; ++i) {
          simulation.hosts[3 * i].alive = false;
          simulation.Add();
        }
        for (int round = 0; round < 20; ++round) {
          for (HostSimulation::Host& host : simulation.hosts) {
            if (simulation.random.Unit() < 0.2) {
              simulation.SendHostList(host);
            }
          }
          simulation.Run(milliseconds(150));
        }
        BOOST_TEST(static_cast<double>(simulation.max_per_second) <=
                   MaxPerSecond(bound));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(ColdRate_HostIsNotListed_IsZero) {
  ColdTargetLimiter limiter;
  limiter.SetHosts(HostId("h1"), std::vector<HostId>{HostId("h2")});
  BOOST_TEST(limiter.RateOf(TargetId("t"), 50) == 0);
  BOOST_TEST(
      !limiter.MaySend(TargetId("t"), 50, TimePoint{}, TimePoint::max()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
