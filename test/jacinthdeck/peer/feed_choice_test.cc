// Tests of the selection of a feeder and of when a host reads the store itself.
#include "jacinthdeck/peer/feed_choice.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "jacinthdeck/core/name_table.h"
#include "support/positions.h"
#include "support/printers.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

[[nodiscard]] HostRecord MakeHost(int number,
                                  int domain,
                                  int cpu_millicores = 250) {
  HostRecord host;
  host.name = HostId("h" + std::to_string(number));
  host.domain = FailureDomain("d" + std::to_string(domain));
  host.peers = "10.0.0." + std::to_string(number) + ":1";
  host.cpu_millicores = static_cast<std::uint32_t>(cpu_millicores);
  return host;
}

struct FeederSelectorFixture {
  TimePoint now{seconds(100)};
  //! h1, h2 and h3 are watchers, one in each failure domain; h9, the host under
  //! test, is a follower in the domain of h2.
  std::vector<HostRecord> hosts{MakeHost(1, 1, 500), MakeHost(2, 2, 500),
                                MakeHost(3, 3, 500), MakeHost(9, 2)};
  FeederSelector selector;

  explicit FeederSelectorFixture(std::uint64_t seed = 1)
      : selector(MakeHost(9, 2), {Endpoint{"10.0.0.1", 1}}, true, seed, now) {}

  FeederActions StepAfter(Duration time) {
    now += time;
    return selector.Step(now);
  }

  //! Opens a link and makes it fresh by a heartbeat.
  void Follow() {
    selector.OnHosts(hosts, now);
    const FeederActions actions = selector.Step(now);
    BOOST_REQUIRE(actions.open_link_to.has_value());
    ReceiveHeartbeat();
  }

  void ReceiveHeartbeat(Duration age = milliseconds(100), bool away = false) {
    selector.OnHeartbeat({At(5), age, away}, now);
  }
};

//! How the feeders of a host stop telling it of changes.
enum class FeedFailure { kStoreUnresponsive, kStoreAway, kPaused, kLinkEnds };

constexpr NameTable<FeedFailure, 4> kFeedFailureNames{
    {"store_unresponsive", "store_away", "paused", "link_ends"}};

//! Host that steps every 100 ms while all its feeders lose the store at the
//! same moment.
struct LostFeedersFixture : FeederSelectorFixture {
  static constexpr Duration kTick = milliseconds(100);
  static constexpr Duration kHeartbeatInterval = milliseconds(500);

  const TimePoint last_contact;
  //! When the feeder fails, apart from the store.
  const TimePoint failed_at;
  const FeedFailure failure;
  TimePoint next_heartbeat;

  LostFeedersFixture(FeedFailure how, std::uint64_t seed)
      : FeederSelectorFixture(seed),
        last_contact(now),
        failed_at(now + seed % 23 * kTick),
        failure(how),
        next_heartbeat(now) {
    Follow();
    now += Duration(milliseconds(seed % 100));
  }

  [[nodiscard]] bool IsLost() const {
    return now >= failed_at && (failure == FeedFailure::kPaused ||
                                failure == FeedFailure::kLinkEnds);
  }

  void ReceiveStaleHeartbeat() {
    const Duration age = now - last_contact;
    ReceiveHeartbeat(
        age, failure == FeedFailure::kStoreAway &&
                 age > DiscoveryTimes::ForBound(DiscoveryTimes::kDefaultBound)
                           .watch_timeout());
  }

  //! Returns the actions of the next step.
  FeederActions Tick() {
    if (failure == FeedFailure::kLinkEnds && IsLost()) {
      selector.OnLinkLost(now);
    }
    FeederActions actions = StepAfter(kTick);
    if (!IsLost() && (actions.open_link_to || now >= next_heartbeat)) {
      ReceiveStaleHeartbeat();
      next_heartbeat = now + kHeartbeatInterval;
    }
    return actions;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(FeederSelectorTest, FeederSelectorFixture)

BOOST_AUTO_TEST_CASE(Start_SeedAnswers_StoreIsNotRead) {
  BOOST_TEST(StepAfter(milliseconds(0)).open_link_to->address == "10.0.0.1");
  ReceiveHeartbeat();
  BOOST_TEST(!StepAfter(milliseconds(1500)).watch_store);
}

// Guards against a host that waits for seeds that are down when all hosts start
// at once: it must read the store itself within about a second.
BOOST_AUTO_TEST_CASE(Start_NoSeedAnswers_StoreIsReadSoon) {
  (void)StepAfter(milliseconds(0));
  BOOST_TEST(!StepAfter(milliseconds(300)).watch_store);
  BOOST_TEST(StepAfter(milliseconds(1000)).watch_store);
}

// Guards against hosts that serve callers waiting behind the store reads of all
// others when hundreds of hosts start again after a power loss. A host too weak
// for callers to be sent to it waits for a seed, which starts a moment later.
BOOST_AUTO_TEST_CASE(Start_WeakHostInRunningFleet_SeedIsAskedFirst) {
  FeederSelector weak_host(MakeHost(9, 2, 120), {Endpoint{"10.0.0.1", 1}},
                           false, 1, now);
  BOOST_TEST(weak_host.Step(now).open_link_to.has_value());
  weak_host.OnLinkLost(now);
  now += milliseconds(200);
  BOOST_TEST(weak_host.Step(now).open_link_to.has_value());
  weak_host.OnHeartbeat({At(5), milliseconds(100), false}, now);
  BOOST_TEST(!weak_host.Step(now + milliseconds(1200)).watch_store);
}

// Guards against a host that leaves one feeder after the other: each sends the
// content in parts, which take longer than a link may take to open.
BOOST_AUTO_TEST_CASE(Link_PartsArriveBeforeTheHeartbeat_IsKept) {
  selector.OnHosts(hosts, now);
  BOOST_REQUIRE(selector.Step(now).open_link_to.has_value());
  for (int part = 0; part < 10; ++part) {
    BOOST_TEST(!StepAfter(milliseconds(500)).close_link);
    selector.OnChanges(now);
  }
  BOOST_TEST(StepAfter(milliseconds(700)).close_link);
}

// Guards against a weak host that waits for seeds that stay down: it must read
// the store after about a second.
BOOST_AUTO_TEST_CASE(Start_WeakHostAndSeedsDown_StoreIsReadSoon) {
  FeederSelector weak_host(MakeHost(9, 2, 120), {Endpoint{"10.0.0.1", 1}},
                           false, 1, now);
  BOOST_TEST(!weak_host.Step(now + milliseconds(500)).watch_store);
  BOOST_TEST(weak_host.Step(now + milliseconds(1200)).watch_store);
}

// Guards against needless store writes, each of which is sent to all hosts: a
// feeder that a follower soon leaves for one in its own domain must not write
// the follower's record, so a new link does not count as steady.
BOOST_AUTO_TEST_CASE(Link_JustOpened_IsNotSteady) {
  Follow();
  BOOST_TEST(selector.IsLinked(now));
  BOOST_TEST(!selector.IsLinkSteady(now));
  BOOST_TEST(selector.IsLinkSteady(now + milliseconds(1100)));
}

// All hosts start again after a power loss while callers wait. A host that
// serves callers reads the store at once: waiting for a seed would cost the
// time in which the seed starts.
BOOST_AUTO_TEST_CASE(Start_StrongHostInRunningFleet_StoreIsReadAtOnce) {
  FeederSelector strong_host(MakeHost(9, 2), {Endpoint{"10.0.0.1", 1}}, false,
                             1, now);
  BOOST_TEST(strong_host.Step(now + milliseconds(40)).watch_store);
}

BOOST_AUTO_TEST_CASE(Hosts_WatcherInOwnDomain_IsFollowed) {
  selector.OnHosts(hosts, now);
  BOOST_TEST(selector.Step(now).open_link_to->address == "10.0.0.2");
}

// The store stops answering one watcher alone while targets leave. That watcher
// must learn of them from another watcher at once, and keep its own watch.
BOOST_AUTO_TEST_CASE(Hosts_SelfIsStrongest_WatchesAndFollowsAnother) {
  hosts[3].cpu_millicores = 900;
  selector.OnHosts(hosts, now);
  BOOST_TEST(selector.is_watcher());
  const FeederActions actions = selector.Step(now);
  BOOST_TEST(actions.watch_store);
  BOOST_REQUIRE(actions.open_link_to.has_value());
  BOOST_TEST(actions.open_link_to->address != "10.0.0.9");
  ReceiveHeartbeat();
  const FeederActions later = StepAfter(milliseconds(10));
  BOOST_TEST(later.watch_store);
  BOOST_TEST(!later.close_link);
}

// The feeder freezes and its connection stays open. The host must detect the
// silence, read the store itself, and follow another watcher once one answers.
BOOST_AUTO_TEST_CASE(Feeder_FallsSilent_StoreIsReadAndAnotherIsFollowed) {
  Follow();
  const FeederActions actions = StepAfter(milliseconds(1700));
  BOOST_TEST(actions.close_link);
  BOOST_REQUIRE(actions.open_link_to.has_value());
  BOOST_TEST(actions.open_link_to->address != "10.0.0.2");
  BOOST_TEST(StepAfter(milliseconds(200)).watch_store);
  ReceiveHeartbeat();
  BOOST_TEST(!StepAfter(milliseconds(10)).watch_store);
}

// The feeder is cut off from the store, but not from this host. Its heartbeats
// go on and report the growing age of its content, but it sends no changes.
BOOST_AUTO_TEST_CASE(Feeder_LosesTheStore_FollowerReadsTheStore) {
  Follow();
  for (int i = 0; i < 4; ++i) {
    (void)StepAfter(milliseconds(500));
    ReceiveHeartbeat(milliseconds(1000 * (i + 1)), true);
  }
  BOOST_TEST(StepAfter(milliseconds(500)).watch_store);
}

BOOST_AUTO_TEST_CASE(Feeder_LinkEnds_StoreIsReadSoon) {
  Follow();
  selector.OnLinkLost(now);
  BOOST_TEST(StepAfter(milliseconds(200)).watch_store);
}

// The host and the watcher of its failure domain are cut off from the store,
// and that watcher's content includes the list of hosts. Guards against a list
// that restarts the order of feeders: each try must go to another feeder until
// one is fresh.
BOOST_AUTO_TEST_CASE(Feeder_StaleButSendsHosts_AllFeedersAreTriedInTurn) {
  Follow();
  std::vector<std::string> tried;
  for (int second = 0; second < 6 && tried.size() < 3; ++second) {
    ReceiveHeartbeat(seconds(4), true);
    selector.OnHosts(hosts, now);
    const FeederActions actions = StepAfter(milliseconds(1100));
    if (actions.open_link_to) {
      tried.push_back(actions.open_link_to->address);
    }
  }
  const std::vector<std::string> expected{"10.0.0.1", "10.0.0.3", "10.0.0.2"};
  BOOST_TEST(tried == expected, boost::test_tools::per_element());
}

// Guards against hosts that follow each other in a cycle, none of which reaches
// the store: the age that they report grows until each of them reads the store.
BOOST_AUTO_TEST_CASE(Feeder_ContentAgeGrows_StoreIsRead) {
  Follow();
  bool watched = false;
  for (int i = 1; i <= 10; ++i) {
    watched = watched || StepAfter(milliseconds(500)).watch_store;
    ReceiveHeartbeat(milliseconds(500 * i));
  }
  BOOST_TEST(watched);
}

// The store rejects all hosts. Guards against hundreds of hosts without callers
// that call it and every feeder in turn for as long as that lasts. They must
// try each feeder once and stay with the nearest, which reports when the store
// is back.
BOOST_AUTO_TEST_CASE(Feeders_AllLostTheStore_HostStaysWithTheNearest) {
  selector.SetServesCallers(false);
  Follow();
  std::vector<std::string> tried;
  for (int i = 0; i < 30; ++i) {
    ReceiveHeartbeat(seconds(4), true);
    const FeederActions actions = StepAfter(milliseconds(100));
    if (actions.open_link_to) {
      tried.push_back(actions.open_link_to->address);
    }
  }
  const std::vector<std::string> expected{"10.0.0.1", "10.0.0.3", "10.0.0.2"};
  BOOST_TEST(tried == expected, boost::test_tools::per_element());
  ReceiveHeartbeat();
  BOOST_TEST(!StepAfter(milliseconds(100)).close_link);
}

// The store rejects all of 300 hosts. The 9 that take callers must read it at
// once; of the others only a few a second may do so.
BOOST_AUTO_TEST_CASE(Feeders_AllLostTheStore_FewHostsReadTheStore) {
  for (int number = 10; number < 306; ++number) {
    hosts.push_back(MakeHost(number, number % 3));
  }
  int store_readers = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    FeederSelectorFixture fixture(seed);
    fixture.hosts = hosts;
    fixture.selector.SetServesCallers(seed <= 9);
    fixture.Follow();
    for (int i = 0; i < 40; ++i) {
      fixture.ReceiveHeartbeat(seconds(4), true);
      const bool watches = fixture.StepAfter(milliseconds(100)).watch_store;
      store_readers += watches ? 1 : 0;
      if (watches) {
        break;
      }
    }
  }
  BOOST_TEST(store_readers >= 9);
  BOOST_TEST(store_readers <= 100);
}

// Guards against requests to a target that left: a host whose feeders lose the
// store must read it within the time for which a leaving target serves.
BOOST_AUTO_TEST_CASE(Feeders_LoseTheStore_HostReadsStoreWithinBound) {
  constexpr Duration kAnswerTime = milliseconds(200);
  constexpr Duration kLatestRead = DiscoveryTimes::kDefaultBound - kAnswerTime;
  for (const FeedFailure failure :
       {FeedFailure::kStoreUnresponsive, FeedFailure::kStoreAway,
        FeedFailure::kPaused, FeedFailure::kLinkEnds}) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
      LostFeedersFixture host(failure, seed);
      bool reads_store = false;
      while (!reads_store && host.now - host.last_contact < kLatestRead) {
        reads_store = host.Tick().watch_store;
      }
      BOOST_TEST(reads_store, kFeedFailureNames.Name(failure)
                                  << " with seed " << seed);
    }
  }
}

// Guards against requests to a target that left: a host that the store rejects
// together with two of its feeders must reach the third one in time.
BOOST_AUTO_TEST_CASE(Feeders_TwoLoseTheStore_ThirdIsReachedWithinBound) {
  constexpr Duration kLatestLink =
      DiscoveryTimes::kDefaultBound - milliseconds(200);
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    LostFeedersFixture host(FeedFailure::kStoreUnresponsive, seed);
    int opened = 0;
    while (opened < 2 && host.now - host.last_contact < kLatestLink) {
      opened += host.Tick().open_link_to ? 1 : 0;
    }
    BOOST_TEST(opened == 2, "seed " << seed);
  }
}

// A feeder dies. A follower without callers must try another feeder within
// milliseconds and not read the store meanwhile.
BOOST_AUTO_TEST_CASE(Feeder_LinkEnds_HostWithoutCallersTriesAnotherFeeder) {
  selector.SetServesCallers(false);
  Follow();
  selector.OnLinkLost(now);
  BOOST_TEST(StepAfter(milliseconds(10)).open_link_to.has_value());
  BOOST_TEST(!StepAfter(milliseconds(300)).watch_store);
  BOOST_TEST(StepAfter(milliseconds(1300)).watch_store);
}

// When the fleet starts, all hosts follow the seeds. Each must then switch to
// the feeder of its own failure domain, so that the content is not sent across
// domains.
BOOST_AUTO_TEST_CASE(Feeder_InAnotherDomain_HostSwitchesToOwnDomain) {
  (void)selector.Step(now);
  ReceiveHeartbeat();
  selector.OnHosts(hosts, now);
  std::optional<Endpoint> opened;
  for (int i = 0; i < 25 && !opened; ++i) {
    ReceiveHeartbeat();
    opened = StepAfter(milliseconds(100)).open_link_to;
  }
  BOOST_REQUIRE(opened.has_value());
  BOOST_TEST(opened->address == "10.0.0.2");
}

// The feeder of the own domain does not answer. The host must go on with
// another one and retry the own domain at growing intervals.
BOOST_AUTO_TEST_CASE(Feeder_OfOwnDomainFails_IsRetriedWithBackoff) {
  selector.OnHosts(hosts, now);
  int own_domain_tries = 0;
  bool linked = false;
  for (int i = 0; i < 600; ++i) {
    const FeederActions actions = StepAfter(milliseconds(100));
    if (actions.open_link_to) {
      linked = actions.open_link_to->address != "10.0.0.2";
      own_domain_tries += linked ? 0 : 1;
    }
    if (linked) {
      ReceiveHeartbeat();
    } else if (actions.open_link_to) {
      selector.OnLinkLost(now);
    }
  }
  BOOST_TEST(own_domain_tries >= 3);
  BOOST_TEST(own_domain_tries <= 8);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
