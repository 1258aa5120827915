// Tests of which failure domains count as holding the shards.
#include "jacinthdeck/discovery/target_domains.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace jacinthdeck {

namespace {

struct TargetDomainsFixture {
  std::vector<TargetEntry> targets;

  void AddTargets(const std::string& domain, int shards) {
    for (int shard = 0; shard < shards; ++shard) {
      TargetEntry target;
      target.id = TargetId(domain + std::to_string(shard));
      target.service = ServiceId("s" + std::to_string(shard));
      target.domain = FailureDomain(domain);
      targets.push_back(target);
    }
  }

  [[nodiscard]] std::set<FailureDomain> Domains(int shards) const {
    Route route;
    for (int shard = 0; shard < shards; ++shard) {
      route.shards.emplace_back("s" + std::to_string(shard));
    }
    return DomainsWithTargets(RoutingConfig(1, {route}, {}, CallerLimits()),
                              targets);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(TargetDomainsTest, TargetDomainsFixture)

BOOST_AUTO_TEST_CASE(Domain_HoldsNoShard_IsLeftOut) {
  AddTargets("a", 8);
  AddTargets("b", 8);
  BOOST_TEST((Domains(8) == std::set{FailureDomain("a"), FailureDomain("b")}));
}

// Callers must not move because a domain lost some of its targets for a moment.
BOOST_AUTO_TEST_CASE(Domain_LostHalfOfItsTargets_IsKept) {
  AddTargets("a", 8);
  AddTargets("b", 4);
  AddTargets("c", 1);
  BOOST_TEST((Domains(8) == std::set{FailureDomain("a"), FailureDomain("b")}));
}

BOOST_AUTO_TEST_CASE(Routes_DoNotFanOut_NoDomainIsPreferred) {
  AddTargets("a", 8);
  BOOST_TEST(Domains(0).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
