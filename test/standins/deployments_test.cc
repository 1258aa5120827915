// Tests that schema, host list and partition maps of the example deployments
// are consistent.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <variant>

#include "jacinthdeck/core/json.h"
#include "jacinthdeck/core/json_reader.h"
#include "jacinthdeck/schema/schema.h"
#include "jacinthdeck/typed/partition_map_reader.h"
#include "target/target_list.h"

namespace jacinthdeck {

struct DeploymentFixture {
  const std::vector<std::string> names{"heel-and-sole-akl",
                                       "associacao-rs-sul"};

  template <typename Operation>
  [[nodiscard]] static auto ValueOf(Operation&& operation) {
    auto captured = Capture(operation);
    if (const auto* error = std::get_if<Error>(&captured)) {
      BOOST_FAIL(error->subject + ": " + error->message);
    }
    return std::get<0>(std::move(captured));
  }

  [[nodiscard]] static std::string Text(const std::string& name,
                                        const std::string& file) {
    std::ifstream in(std::string(JACINTHDECK_EXAMPLES) + "/deployments/" +
                     name + "/" + file);
    BOOST_REQUIRE(in.good());
    return {std::istreambuf_iterator<char>(in), {}};
  }

  [[nodiscard]] static std::map<TargetId, TargetInfo> ReadTargets(
      const std::string& name) {
    const std::string text = Text(name, "hosts.json");
    std::map<TargetId, TargetInfo> hosts;
    for (const TargetInfo& info :
         ValueOf([&] { return ReadHostList(text, "hosts.json"); })) {
      hosts[info.id] = info;
    }
    return hosts;
  }

  [[nodiscard]] static std::map<ServiceId, PartitionMap> ReadLatestMaps(
      const std::string& name) {
    const std::string text = Text(name, "index.json");
    const JsonPtr json = ValueOf([&] { return ParseJson(text, "index.json"); });
    const JsonReader index(json.get(), "index.json");
    std::map<ServiceId, PartitionMap> maps;
    for (const std::string& service : index.Names()) {
      const auto read = ValueOf([&]() -> Result<std::vector<PartitionMap>> {
        BOOST_LEAF_AUTO(value, index.Object(service));
        return ReadPartitionMaps(value);
      });
      maps[ServiceId(service)] = read.back();
    }
    return maps;
  }
};

BOOST_FIXTURE_TEST_SUITE(DeploymentsTest, DeploymentFixture)

BOOST_AUTO_TEST_CASE(
    Deployment_EveryReplica_IsInHostListOfItsServiceAndInOwnDomain) {
  for (const std::string& name : names) {
    const auto hosts = ReadTargets(name);
    std::set<TargetId> used;
    for (const auto& [service, map] : ReadLatestMaps(name)) {
      for (const Shard& shard : map.shards) {
        std::set<FailureDomain> domains;
        for (const TargetId& replica : shard.replicas) {
          BOOST_REQUIRE(hosts.contains(replica));
          BOOST_TEST((hosts.at(replica).service == service));
          domains.insert(hosts.at(replica).domain);
          used.insert(replica);
        }
        const std::size_t expected =
            std::min<std::size_t>(shard.replicas.size(), 3);
        BOOST_TEST(domains.size() == expected);
      }
    }
    BOOST_TEST(used.size() == hosts.size());
  }
}

BOOST_AUTO_TEST_CASE(Deployment_EveryDeclaredService_HasAPartitionMap) {
  for (const std::string& name : names) {
    const Schema schema =
        ValueOf([&] { return Schema::Parse(Text(name, "schema.fbs")); });
    const auto maps = ReadLatestMaps(name);
    std::set<ServiceId> declared;
    for (const auto& method : schema.methods()) {
      declared.insert(method->service);
      BOOST_TEST(maps.contains(method->service));
    }
    BOOST_TEST(declared.size() == maps.size());
  }
}

// Guards against a claim that is declared as repeatable: a retried claim sends
// two people to the same ticket or animal.
BOOST_AUTO_TEST_CASE(Deployment_EveryClaim_RunsAtMostOnce) {
  for (const std::string& name : names) {
    const Schema schema =
        ValueOf([&] { return Schema::Parse(Text(name, "schema.fbs")); });
    std::size_t claims = 0;
    for (const auto& method : schema.methods()) {
      if (method->name == "Claim") {
        ++claims;
        BOOST_TEST((method->repeat == Repeat::kOnce));
      }
    }
    BOOST_TEST(claims == 1U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
