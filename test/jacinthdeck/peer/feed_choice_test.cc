// Tests of whom a host learns from.
#include "jacinthdeck/peer/feed_choice.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

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
  host.name = NodeId("h" + std::to_string(number));
  host.domain = FailureDomain("d" + std::to_string(domain));
  host.peers = "10.0.0." + std::to_string(number) + ":1";
  host.cpu_millicores = static_cast<std::uint32_t>(cpu_millicores);
  return host;
}

struct ChoiceFixture {
  TimePoint now{seconds(100)};
  //! h1, h2 and h3 watch, one in each failure domain; h9 follows.
  std::vector<HostRecord> hosts{MakeHost(1, 1, 500), MakeHost(2, 2, 500),
                                MakeHost(3, 3, 500), MakeHost(9, 2)};
  FeedChoice choice;

  explicit ChoiceFixture(std::uint64_t seed = 1)
      : choice(MakeHost(9, 2), {Endpoint{"10.0.0.1", 1}}, true, seed, now) {}

  FeedStep StepIn(Duration time) {
    now += time;
    return choice.Step(now);
  }

  //! Opens a link and makes it fresh.
  void Follow() {
    choice.OnHosts(hosts, now);
    const FeedStep step = choice.Step(now);
    BOOST_REQUIRE(step.open.has_value());
    Beat();
  }

  void Beat(Duration age = milliseconds(100), bool away = false) {
    choice.OnBeat({At(5), age, away}, now);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(FeedChoiceTest, ChoiceFixture)

BOOST_AUTO_TEST_CASE(Start_SeedAnswers_StoreIsNotAsked) {
  BOOST_TEST(StepIn(milliseconds(0)).open->address == "10.0.0.1");
  Beat();
  BOOST_TEST(!StepIn(milliseconds(1500)).watch_store);
}

// All hosts start at once, and the seeds are down. The host must not wait for
// them: it asks the store itself within about a second.
BOOST_AUTO_TEST_CASE(Start_NoSeedAnswers_StoreIsAskedSoon) {
  (void)StepIn(milliseconds(0));
  BOOST_TEST(!StepIn(milliseconds(300)).watch_store);
  BOOST_TEST(StepIn(milliseconds(1000)).watch_store);
}

// Hundreds of hosts lost power and start again. One that is too weak for
// callers to be sent to it waits for a seed, which starts a moment later: the
// few that serve must not wait behind the reads of all.
BOOST_AUTO_TEST_CASE(Start_AmongOthersAndWeak_SeedIsAskedFirst) {
  FeedChoice again(MakeHost(9, 2, 120), {Endpoint{"10.0.0.1", 1}}, false, 1,
                   now);
  BOOST_TEST(again.Step(now).open.has_value());
  again.OnLost(now);
  now += milliseconds(200);
  BOOST_TEST(again.Step(now).open.has_value());
  again.OnBeat({At(5), milliseconds(100), false}, now);
  BOOST_TEST(!again.Step(now + milliseconds(1200)).watch_store);
}

// The same with all seeds down: the store is read after about a second.
BOOST_AUTO_TEST_CASE(Start_AmongOthersAndWeakWithoutSeeds_StoreIsReadSoon) {
  FeedChoice again(MakeHost(9, 2, 120), {Endpoint{"10.0.0.1", 1}}, false, 1,
                   now);
  BOOST_TEST(!again.Step(now + milliseconds(500)).watch_store);
  BOOST_TEST(again.Step(now + milliseconds(1200)).watch_store);
}

// A follower that is on its way to its own domain's feeder is not written by
// the one that it passes: each write is told to all hosts.
BOOST_AUTO_TEST_CASE(Link_JustOpened_IsNotSteady) {
  Follow();
  BOOST_TEST(choice.IsLinked(now));
  BOOST_TEST(!choice.IsLinkSteady(now));
  BOOST_TEST(choice.IsLinkSteady(now + milliseconds(1100)));
}

// All hosts lost power and start again while callers wait. Each of them reads
// the store at once: following would cost the time in which a seed starts.
BOOST_AUTO_TEST_CASE(Start_AmongOthers_StoreIsReadAtOnce) {
  FeedChoice again(MakeHost(9, 2), {Endpoint{"10.0.0.1", 1}}, false, 1, now);
  BOOST_TEST(again.Step(now + milliseconds(40)).watch_store);
}

BOOST_AUTO_TEST_CASE(Hosts_OwnDomainHasAWatcher_ItIsFollowed) {
  choice.OnHosts(hosts, now);
  BOOST_TEST(choice.Step(now).open->address == "10.0.0.2");
}

// The store turns away one watcher alone, silently, while targets leave. It
// hears of them from another watcher at once, and its own watch goes on.
BOOST_AUTO_TEST_CASE(Hosts_ThisOneIsTheStrongest_WatchesAndFollowsAnother) {
  hosts[3].cpu_millicores = 900;
  choice.OnHosts(hosts, now);
  BOOST_TEST(choice.is_watcher());
  const FeedStep step = choice.Step(now);
  BOOST_TEST(step.watch_store);
  BOOST_REQUIRE(step.open.has_value());
  BOOST_TEST(step.open->address != "10.0.0.9");
  Beat();
  const FeedStep later = StepIn(milliseconds(10));
  BOOST_TEST(later.watch_store);
  BOOST_TEST(!later.close);
}

// The watcher freezes and its connection stays open. The host sees silence,
// reads the store itself, and follows another watcher as soon as one answers.
BOOST_AUTO_TEST_CASE(Feeder_FallsSilent_StoreIsReadAndAnotherFollowed) {
  Follow();
  const FeedStep step = StepIn(milliseconds(1700));
  BOOST_TEST(step.close);
  BOOST_REQUIRE(step.open.has_value());
  BOOST_TEST(step.open->address != "10.0.0.2");
  BOOST_TEST(StepIn(milliseconds(200)).watch_store);
  Beat();
  BOOST_TEST(!StepIn(milliseconds(10)).watch_store);
}

// The watcher is cut off from the store, but not from this host. Its beats go
// on and say how old its knowledge is; a change would never come this way.
BOOST_AUTO_TEST_CASE(Feeder_LosesTheStore_StoreIsReadInItsPlace) {
  Follow();
  for (int i = 0; i < 4; ++i) {
    (void)StepIn(milliseconds(500));
    Beat(milliseconds(1000 * (i + 1)), true);
  }
  BOOST_TEST(StepIn(milliseconds(500)).watch_store);
}

BOOST_AUTO_TEST_CASE(Feeder_LinkEnds_StoreIsReadSoon) {
  Follow();
  choice.OnLost(now);
  BOOST_TEST(StepIn(milliseconds(200)).watch_store);
}

// The host is cut from the store, and so is the watcher of its failure domain,
// whose content arrives with the list of hosts. The next feeder must be another
// one each time, until one is fresh.
BOOST_AUTO_TEST_CASE(Feeder_StaysStaleAndTellsTheHosts_AllAreTriedInTurn) {
  Follow();
  std::vector<std::string> tried;
  for (int second = 0; second < 6 && tried.size() < 3; ++second) {
    Beat(seconds(4), true);
    choice.OnHosts(hosts, now);
    const FeedStep step = StepIn(milliseconds(1100));
    if (step.open) {
      tried.push_back(step.open->address);
    }
  }
  const std::vector<std::string> expected{"10.0.0.1", "10.0.0.3", "10.0.0.2"};
  BOOST_TEST(tried == expected, boost::test_tools::per_element());
}

// Hosts that follow each other in a circle hand on what nobody heard from the
// store. The age that they tell grows until each of them reads the store.
BOOST_AUTO_TEST_CASE(Feeder_AgeOnlyGrows_StoreIsReadInTheEnd) {
  Follow();
  bool watched = false;
  for (int i = 1; i <= 10; ++i) {
    watched = watched || StepIn(milliseconds(500)).watch_store;
    Beat(milliseconds(500 * i));
  }
  BOOST_TEST(watched);
}

// The store turns everyone away. Hundreds of hosts that take no callers would
// each ask it, and every feeder in turn, for as long as that lasts. They try
// each feeder once, stay with the nearest, and hear from it when the store is
// back.
BOOST_AUTO_TEST_CASE(Feeders_AreAllAway_HostStaysWithTheNearest) {
  choice.SetServesCallers(false);
  Follow();
  std::vector<std::string> tried;
  for (int i = 0; i < 30; ++i) {
    Beat(seconds(4), true);
    const FeedStep step = StepIn(milliseconds(100));
    if (step.open) {
      tried.push_back(step.open->address);
    }
  }
  const std::vector<std::string> expected{"10.0.0.1", "10.0.0.3", "10.0.0.2"};
  BOOST_TEST(tried == expected, boost::test_tools::per_element());
  Beat();
  BOOST_TEST(!StepIn(milliseconds(100)).close);
}

// The same with 300 hosts. The store is asked by a few of them a second, not by
// all; those that take callers ask at once.
BOOST_AUTO_TEST_CASE(Feeders_AreAllAway_FewHostsAskTheStore) {
  for (int number = 10; number < 306; ++number) {
    hosts.push_back(MakeHost(number, number % 3));
  }
  int asked = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    ChoiceFixture one(seed);
    one.hosts = hosts;
    one.choice.SetServesCallers(seed <= 9);
    one.Follow();
    for (int i = 0; i < 40; ++i) {
      one.Beat(seconds(4), true);
      const bool watches = one.StepIn(milliseconds(100)).watch_store;
      asked += watches ? 1 : 0;
      if (watches) {
        break;
      }
    }
  }
  BOOST_TEST(asked >= 9);
  BOOST_TEST(asked <= 100);
}

// A feeder dies. Its followers find another one within milliseconds; none of
// those that take no callers asks the store meanwhile.
BOOST_AUTO_TEST_CASE(Feeder_LinkEnds_HostWithoutCallersAsksAnotherFeeder) {
  choice.SetServesCallers(false);
  Follow();
  choice.OnLost(now);
  BOOST_TEST(StepIn(milliseconds(10)).open.has_value());
  BOOST_TEST(!StepIn(milliseconds(300)).watch_store);
  BOOST_TEST(StepIn(milliseconds(1300)).watch_store);
}

// At the start of the fleet all hosts follow the seeds. Each goes over to the
// feeder of its own failure domain: what is fed stays within the domain.
BOOST_AUTO_TEST_CASE(Feeder_IsInAnotherDomain_OwnOneIsFollowedSoon) {
  (void)choice.Step(now);
  Beat();
  choice.OnHosts(hosts, now);
  std::optional<Endpoint> opened;
  for (int i = 0; i < 25 && !opened; ++i) {
    Beat();
    opened = StepIn(milliseconds(100)).open;
  }
  BOOST_REQUIRE(opened.has_value());
  BOOST_TEST(opened->address == "10.0.0.2");
}

// The own domain's feeder does not answer. The host goes on with another one
// and tries to return ever more rarely.
BOOST_AUTO_TEST_CASE(Feeder_OfTheOwnDomainFails_IsTriedEverMoreRarely) {
  choice.OnHosts(hosts, now);
  int returns = 0;
  bool linked = false;
  for (int i = 0; i < 600; ++i) {
    const FeedStep step = StepIn(milliseconds(100));
    if (step.open) {
      linked = step.open->address != "10.0.0.2";
      returns += linked ? 0 : 1;
    }
    if (linked) {
      Beat();
    } else if (step.open) {
      choice.OnLost(now);
    }
  }
  BOOST_TEST(returns >= 3);
  BOOST_TEST(returns <= 8);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
