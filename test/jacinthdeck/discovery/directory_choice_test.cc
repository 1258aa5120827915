// Tests of which host addresses are returned to callers.
#include "jacinthdeck/discovery/directory_choice.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

namespace jacinthdeck {

namespace {

[[nodiscard]] HostRecord MakeHost(int number, const std::string& domain) {
  HostRecord host;
  host.name = HostId("h" + std::to_string(number));
  host.domain = FailureDomain(domain);
  host.callers = "10.0.0." + std::to_string(number) + ":80";
  return host;
}

struct DirectoryFixture {
  std::vector<HostRecord> hosts{MakeHost(1, "a"), MakeHost(2, "a"),
                                MakeHost(3, "a"), MakeHost(4, "b"),
                                MakeHost(5, "c"), MakeHost(6, "c")};

  std::set<FailureDomain> target_domains;

  [[nodiscard]] std::vector<std::string> AddressesFor(
      const std::string& domain,
      bool self_accepts_callers = true) const {
    DirectoryRequest request;
    request.caller_domain = FailureDomain(domain);
    request.self = hosts[3];
    request.self_accepts_callers = self_accepts_callers;
    request.target_domains = target_domains;
    return ChooseCallerAddresses(request, hosts);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(DirectoryChoiceTest, DirectoryFixture)

BOOST_AUTO_TEST_CASE(Domain_HasThreeHosts_OnlyTheyAreReturned) {
  BOOST_TEST(AddressesFor("a").size() == 3U);
  BOOST_TEST(AddressesFor("a").front() == "10.0.0.1:80");
}

// Both hosts of a domain may fail at once and stay listed until their leases
// expire. A third host, of another domain, remains for the callers.
BOOST_AUTO_TEST_CASE(Domain_HasTwoHosts_OneOfAnotherDomainIsAdded) {
  const auto addresses = AddressesFor("c");
  BOOST_TEST(addresses.size() == 3U);
  BOOST_TEST(addresses[0] == "10.0.0.5:80");
  BOOST_TEST(addresses[1] == "10.0.0.6:80");
}

BOOST_AUTO_TEST_CASE(Domain_HasOneHostOrNone_AllAreReturned) {
  BOOST_TEST(AddressesFor("b").size() == 6U);
  BOOST_TEST(AddressesFor("elsewhere").size() == 6U);
}

// Load: callers of a failure domain whose hosts get each part of an answer from
// another domain.
BOOST_AUTO_TEST_CASE(Domain_HasNoTargets_CallersGoToDomainsThatHaveThem) {
  target_domains = {FailureDomain("b"), FailureDomain("c")};
  const auto addresses = AddressesFor("a");
  BOOST_TEST(addresses.size() == 3U);
  BOOST_TEST((std::ranges::find(addresses, "10.0.0.1:80") == addresses.end()));
}

// With too few hosts beside the targets, the loss of these would leave the
// callers without an address.
BOOST_AUTO_TEST_CASE(DomainsWithTargets_HaveTwoHosts_OthersStayListed) {
  target_domains = {FailureDomain("c")};
  BOOST_TEST(AddressesFor("a").size() == 3U);
  BOOST_TEST(AddressesFor("a").front() == "10.0.0.1:80");
}

BOOST_AUTO_TEST_CASE(Self_IsStopping_IsNotReturned) {
  const auto addresses = AddressesFor("b", false);
  BOOST_TEST(addresses.size() == 5U);
  BOOST_TEST((std::ranges::find(addresses, "10.0.0.4:80") == addresses.end()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
