// Tests of which hosts watch the store and which take callers.
#include "jacinthdeck/discovery/fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

#include "support/printers.h"

namespace jacinthdeck {

namespace {

[[nodiscard]] HostRecord MakeHost(int number, int domain, int cpu_millicores) {
  HostRecord host;
  host.name = HostId("h" + std::to_string(number));
  host.domain = FailureDomain("d" + std::to_string(domain));
  host.cpu_millicores = static_cast<std::uint32_t>(cpu_millicores);
  return host;
}

//! Makes hosts of which some in each domain have a high capacity and the others
//! a low one.
[[nodiscard]] std::vector<HostRecord> MakeFleet(int domains,
                                                int strong,
                                                int weak) {
  std::vector<HostRecord> hosts;
  for (int domain = 0; domain < domains; ++domain) {
    for (int i = 0; i < strong + weak; ++i) {
      hosts.push_back(MakeHost(static_cast<int>(hosts.size()), domain,
                               i < strong ? 500 : 120));
    }
  }
  return hosts;
}

[[nodiscard]] std::size_t CountDomains(const std::vector<HostRecord>& hosts) {
  std::set<FailureDomain> domains;
  for (const HostRecord& host : hosts) {
    domains.insert(host.domain);
  }
  return domains.size();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(FleetTest)

BOOST_AUTO_TEST_CASE(Watchers_AnyFleetSize_AreFewAndInEachDomain) {
  BOOST_TEST(ChooseWatchers({}).empty());
  BOOST_TEST(ChooseWatchers(MakeFleet(1, 0, 2)).size() == 2U);
  BOOST_TEST(ChooseWatchers(MakeFleet(1, 0, 8)).size() == 3U);
  BOOST_TEST(ChooseWatchers(MakeFleet(3, 2, 26)).size() == 3U);
  BOOST_TEST(ChooseWatchers(MakeFleet(10, 0, 59)).size() == 10U);
}

BOOST_AUTO_TEST_CASE(Fronts_SmallFleet_AreAllHosts) {
  BOOST_TEST(ChooseFronts(MakeFleet(3, 0, 2), 30).size() == 6U);
}

// With 86 hosts and 75 connections per target, all hosts together would get
// less than one connection each. Only the strong hosts of each domain take
// callers.
BOOST_AUTO_TEST_CASE(Fronts_LargeFleet_AreTheStrongHostsOfEachDomain) {
  const auto fronts = ChooseFronts(MakeFleet(3, 2, 26), 75);
  BOOST_TEST(fronts.size() == 6U);
  BOOST_TEST(CountDomains(fronts) == 3U);
  BOOST_TEST(std::ranges::all_of(fronts, [](const HostRecord& host) {
    return host.cpu_millicores == 500;
  }));
}

// The strong hosts are lost. Standby hosts take over, at least two per domain.
BOOST_AUTO_TEST_CASE(Fronts_StrongHostsAreLost_OthersTakeOver) {
  const auto fronts = ChooseFronts(MakeFleet(3, 0, 26), 75);
  BOOST_TEST(fronts.size() >= 6U);
  BOOST_TEST(fronts.size() <= 25U);
  BOOST_TEST(CountDomains(fronts) == 3U);
}

// Under load the processors of the fronts are the bottleneck. More hosts take
// callers, up to the number that the connections of the targets allow.
BOOST_AUTO_TEST_CASE(Fronts_AreBusy_MoreHostsTakeCallers) {
  std::vector<HostRecord> hosts = MakeFleet(3, 2, 26);
  for (HostRecord& host : hosts) {
    host.busy = host.cpu_millicores == 500;
  }
  const auto more = ChooseFronts(hosts, 75);
  BOOST_TEST(more.size() > 6U);
  for (HostRecord& host : hosts) {
    host.busy = true;
  }
  const auto most = ChooseFronts(hosts, 75);
  BOOST_TEST(most.size() > more.size());
  BOOST_TEST(most.size() <= 25U);
}

// A front without targets in its domain gets each part from elsewhere, and
// takes a share of the connections from the fronts beside the targets.
BOOST_AUTO_TEST_CASE(Fronts_DomainHasNoTargets_AreInTheOthers) {
  const auto fronts = ChooseFronts(
      MakeFleet(4, 2, 17), 70,
      {FailureDomain("d0"), FailureDomain("d1"), FailureDomain("d2")});
  BOOST_TEST(fronts.size() == 6U);
  BOOST_TEST(CountDomains(fronts) == 3U);
}

// The loss of the only domain with targets must leave fronts.
BOOST_AUTO_TEST_CASE(Fronts_OneDomainHasTargets_AreInAllDomains) {
  const auto fronts =
      ChooseFronts(MakeFleet(4, 2, 17), 70, {FailureDomain("d0")});
  BOOST_TEST(CountDomains(fronts) == 4U);
}

// Load: calls that one front alone could take. Spread over many fronts, each
// sees a failing target too rarely to avoid it before the failure is over.
BOOST_AUTO_TEST_CASE(Fronts_WeakerHostsAreNotNeeded_AreTheStrongestOnly) {
  std::vector<HostRecord> hosts = MakeFleet(4, 2, 4);
  for (HostRecord& host : hosts) {
    host.cpu_millicores = host.cpu_millicores == 120 ? 320 : 500;
  }
  BOOST_TEST(ChooseFronts(hosts, 61).size() == 8U);
  for (HostRecord& host : hosts) {
    host.busy = true;
  }
  BOOST_TEST(ChooseFronts(hosts, 61).size() > 8U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
