// Tests of reading and checking published partition maps.
#include "jacinthdeck/typed/partition_map_reader.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>

namespace jacinthdeck {

struct PartitionMapFixture {
  [[nodiscard]] static std::string MakeIndex(const std::string& shards) {
    return R"({"versions":[{"version":7,"shards":[)" + shards + "]}]}";
  }

  [[nodiscard]] static std::variant<std::vector<PartitionMap>, Error> Read(
      const std::string& text) {
    return Capture([&] { return ReadPartitionMaps(text, "index/S"); });
  }
};

BOOST_FIXTURE_TEST_SUITE(PartitionMapReaderTest, PartitionMapFixture)

BOOST_AUTO_TEST_CASE(ReadPartitionMaps_TwoShards_GivesThemInOrder) {
  const auto read = Read(MakeIndex(
      R"({"id":0,"range":[0,10],"replicas":["a","b"]},
         {"id":1,"range":[10,4294967296],"replicas":["c"]})"));
  BOOST_REQUIRE(read.index() == 0U);
  const auto& maps = std::get<0>(read);
  BOOST_REQUIRE(maps.size() == 1U);
  BOOST_TEST((maps[0].version == IndexVersion(7)));
  BOOST_TEST((maps[0].shards[1].range == KeyRange{10, kKeySpaceEnd}));
  BOOST_TEST((maps[0].shards[0].replicas[1] == TargetId("b")));
}

// Guards against an incomplete or doubled answer that claims to be whole. It
// comes about when an index builder publishes a map with a gap or an overlap:
// keys in a gap are requested from no target, keys in an overlap are answered
// twice.
BOOST_AUTO_TEST_CASE(ReadPartitionMaps_InvalidPartition_IsRejected) {
  for (const std::string shards :
       {R"({"id":0,"range":[0,10],"replicas":["a"]})",
        R"({"id":0,"range":[1,4294967296],"replicas":["a"]})",
        R"({"id":0,"range":[0,10],"replicas":["a"]},
           {"id":1,"range":[11,4294967296],"replicas":["a"]})",
        R"({"id":0,"range":[0,10],"replicas":["a"]},
           {"id":1,"range":[9,4294967296],"replicas":["a"]})",
        R"({"id":1,"range":[10,4294967296],"replicas":["a"]},
           {"id":0,"range":[0,10],"replicas":["a"]})",
        R"({"id":0,"range":[0,10],"replicas":["a"]},
           {"id":0,"range":[10,4294967296],"replicas":["a"]})",
        R"({"id":0,"range":[0,4294967296],"replicas":[]})",
        R"({"id":0,"range":[0,4294967296],"replicas":["a","a"]})",
        R"({"id":0,"range":[0,4294967297],"replicas":["a"]})",
        R"({"id":0,"range":[0],"replicas":["a"]})",
        R"({"id":-1,"range":[0,4294967296],"replicas":["a"]})", ""}) {
    BOOST_TEST_CONTEXT(shards) {
      const auto read = Read(MakeIndex(shards));
      BOOST_REQUIRE(read.index() == 1U);
      BOOST_TEST((std::get<Error>(read).code == ErrorCode::kCorrupt));
    }
  }
}

BOOST_AUTO_TEST_CASE(ReadPartitionMaps_WrongShape_NamesTheMember) {
  const auto read = Read(R"({"versions":[{"version":"7","shards":[]}]})");
  BOOST_REQUIRE(read.index() == 1U);
  BOOST_TEST(std::get<Error>(read).subject == "index/S.versions[0].version");
}

BOOST_AUTO_TEST_CASE(ReadPartitionMaps_VersionsOutOfOrder_AreRejected) {
  const std::string shards =
      R"("shards":[{"id":0,"range":[0,4294967296],"replicas":["a"]}])";
  const auto versions = [&](const std::string& first,
                            const std::string& second) {
    return R"({"versions":[{"version":)" + first + "," + shards +
           R"(},{"version":)" + second + "," + shards + "}]}";
  };
  BOOST_TEST(Read(versions("7", "8")).index() == 0U);
  BOOST_TEST(Read(versions("8", "7")).index() == 1U);
  BOOST_TEST(Read(versions("7", "7")).index() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
