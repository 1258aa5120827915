// Tests of which hosts watch and which take callers.
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
  host.name = NodeId("h" + std::to_string(number));
  host.domain = FailureDomain("d" + std::to_string(domain));
  host.cpu_millicores = static_cast<std::uint32_t>(cpu_millicores);
  return host;
}

//! Per domain a few strong hosts and many weak ones.
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

// 86 hosts and 75 connections a target: spread over all hosts that is less than
// one a host. The strong hosts of each domain take the callers.
BOOST_AUTO_TEST_CASE(Fronts_LargeFleet_AreTheStrongHostsOfEachDomain) {
  const auto fronts = ChooseFronts(MakeFleet(3, 2, 26), 75);
  BOOST_TEST(fronts.size() == 6U);
  BOOST_TEST(CountDomains(fronts) == 3U);
  BOOST_TEST(std::ranges::all_of(fronts, [](const HostRecord& host) {
    return host.cpu_millicores == 500;
  }));
}

// The strong hosts are lost. Those that stood by take over, two in each domain.
BOOST_AUTO_TEST_CASE(Fronts_StrongHostsAreLost_OthersTakeOver) {
  const auto fronts = ChooseFronts(MakeFleet(3, 0, 26), 75);
  BOOST_TEST(fronts.size() >= 6U);
  BOOST_TEST(fronts.size() <= 25U);
  BOOST_TEST(CountDomains(fronts) == 3U);
}

// Callers press and the fronts' processors are the bottleneck: more hosts take
// callers, up to what the targets' connections allow.
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
