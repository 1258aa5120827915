// Tests of Coverage and IsPartition().
#include "jacinthdeck/query/coverage.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "jacinthdeck/core/random.h"

namespace jacinthdeck {

struct CoverageFixture {
  Coverage coverage;
};

BOOST_FIXTURE_TEST_SUITE(CoverageTest, CoverageFixture)

BOOST_AUTO_TEST_CASE(Coverage_TouchingRanges_AreJoined) {
  BOOST_TEST(coverage.Add(KeyRange{0, 10}));
  BOOST_TEST(coverage.Add(KeyRange{20, 30}));
  BOOST_TEST(coverage.Add(KeyRange{10, 20}));
  BOOST_TEST((coverage.ranges() == std::vector{KeyRange{0, 30}}));
}

// Two replies cover the same keys. If both were counted, a sum would be too
// high.
BOOST_AUTO_TEST_CASE(Coverage_OverlappingRange_IsRefusedUnchanged) {
  BOOST_TEST(coverage.Add(KeyRange{10, 20}));
  for (const KeyRange range :
       {KeyRange{10, 20}, KeyRange{5, 11}, KeyRange{19, 25}, KeyRange{12, 13},
        KeyRange{0, 30}}) {
    BOOST_TEST(!coverage.Add(range));
  }
  BOOST_TEST((coverage.ranges() == std::vector{KeyRange{10, 20}}));
}

BOOST_AUTO_TEST_CASE(Coverage_EmptyInvertedOrTooHighRange_IsRefused) {
  BOOST_TEST(!coverage.Add(KeyRange{5, 5}));
  BOOST_TEST(!coverage.Add(KeyRange{6, 5}));
  BOOST_TEST(!coverage.Add(KeyRange{0, kKeySpaceEnd + 1}));
  BOOST_TEST(coverage.empty());
}

BOOST_AUTO_TEST_CASE(Coverage_PartOfAskedRanges_MissingIsTheRest) {
  Coverage asked;
  BOOST_TEST(asked.Add(KeyRange{0, 50}));
  BOOST_TEST(asked.Add(KeyRange{60, 100}));
  BOOST_TEST(coverage.Add(KeyRange{10, 20}));
  BOOST_TEST(coverage.Add(KeyRange{40, 70}));
  BOOST_TEST(
      (coverage.MissingFrom(asked).ranges() ==
       std::vector{KeyRange{0, 10}, KeyRange{20, 40}, KeyRange{70, 100}}));
  BOOST_TEST((Coverage().MissingFrom(asked).ranges() == asked.ranges()));
  BOOST_TEST(asked.MissingFrom(asked).empty());
}

// Compares the covered and missing keys with a model of one bit per key.
BOOST_AUTO_TEST_CASE(Coverage_RandomRanges_MatchesBitPerKeyModel) {
  constexpr std::uint64_t kKeys = 64;
  Random random(3);
  for (int round = 0; round < 500; ++round) {
    Coverage held;
    Coverage asked;
    std::vector<bool> held_bits(kKeys);
    std::vector<bool> asked_bits(kKeys);
    for (int i = 0; i < 12; ++i) {
      const std::uint64_t begin = random.Below(kKeys - 1);
      const KeyRange range{begin, begin + 1 + random.Below(kKeys - begin)};
      Coverage& into = i % 2 == 0 ? held : asked;
      std::vector<bool>& bits = i % 2 == 0 ? held_bits : asked_bits;
      bool free = true;
      for (std::uint64_t key = range.begin; key < range.end; ++key) {
        free = free && !bits[key];
      }
      BOOST_TEST(into.Add(range) == free);
      for (std::uint64_t key = range.begin; free && key < range.end; ++key) {
        bits[key] = true;
      }
    }
    const Coverage missing = held.MissingFrom(asked);
    for (std::uint64_t key = 0; key < kKeys; ++key) {
      const KeyRange one{key, key + 1};
      BOOST_TEST(held.Covers(one) == held_bits[key]);
      BOOST_TEST(missing.Covers(one) == (asked_bits[key] && !held_bits[key]));
    }
  }
}

BOOST_AUTO_TEST_CASE(IsPartition_GapOverlapOrShortMap_IsRefused) {
  PartitionMap map;
  BOOST_TEST(!IsPartition(map));
  map.shards.resize(2);
  map.shards[0].range = KeyRange{0, 100};
  map.shards[1].range = KeyRange{100, kKeySpaceEnd};
  BOOST_TEST(IsPartition(map));
  map.shards[1].range.begin = 101;
  BOOST_TEST(!IsPartition(map));
  map.shards[1].range.begin = 99;
  BOOST_TEST(!IsPartition(map));
  map.shards[1].range = KeyRange{100, kKeySpaceEnd - 1};
  BOOST_TEST(!IsPartition(map));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
