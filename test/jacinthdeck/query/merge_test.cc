// Tests of the merge rules in Merger.
#include "jacinthdeck/query/merge.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "jacinthdeck/core/random.h"

namespace jacinthdeck {

struct MergeFixture {
  [[nodiscard]] static Merged Merge(MergeRule rule,
                                    const std::vector<ShardReply>& replies) {
    Merger merger(rule, 3);
    for (const ShardReply& reply : replies) {
      merger.Add(reply);
    }
    return merger.Take();
  }

  [[nodiscard]] static std::vector<std::string> Ids(const Merged& merged) {
    std::vector<std::string> ids;
    for (const Hit& hit : merged.hits) {
      ids.push_back(hit.id);
    }
    return ids;
  }

  std::vector<ShardReply> replies{
      ShardReply{{Hit{"b", 2, "{}"}, Hit{"a", 1, "{}"}}, 2},
      ShardReply{{Hit{"c", 3, "{}"}, Hit{"b", 1, "{}"}}, 5},
      ShardReply{{Hit{"e", 2, "{}"}, Hit{"d", 0, "{}"}}, 7}};
};

BOOST_FIXTURE_TEST_SUITE(MergeTest, MergeFixture)

BOOST_AUTO_TEST_CASE(TopK_DuplicateIds_BestScoresOnceEach) {
  BOOST_TEST(Ids(Merge(MergeRule::kTopK, replies)) ==
                 (std::vector<std::string>{"c", "b", "e"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(Union_DuplicateIds_OrderedByIdUpToTheLimit) {
  BOOST_TEST(Ids(Merge(MergeRule::kUnion, replies)) ==
                 (std::vector<std::string>{"a", "b", "c"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(Count_SeveralReplies_SumWithoutHits) {
  const Merged merged = Merge(MergeRule::kCount, replies);
  BOOST_TEST(merged.count == 14U);
  BOOST_TEST(merged.hits.empty());
}

BOOST_AUTO_TEST_CASE(Lookup_SeveralHits_ReturnsTheBest) {
  BOOST_TEST(Ids(Merge(MergeRule::kLookup, replies)) ==
                 (std::vector<std::string>{"c"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(EveryRule_NoReply_IsEmpty) {
  for (const MergeRule rule : {MergeRule::kTopK, MergeRule::kUnion,
                               MergeRule::kCount, MergeRule::kLookup}) {
    const Merged merged = Merge(rule, {});
    BOOST_TEST(merged.hits.empty());
    BOOST_TEST(merged.count == 0U);
  }
}

// Replies arrive in any order, and equal requests must get equal answers.
BOOST_AUTO_TEST_CASE(EveryRule_AnyOrderOfReplies_SameResult) {
  Random random(5);
  for (int round = 0; round < 200; ++round) {
    std::vector<ShardReply> mixed(4);
    for (int i = 0; i < 12; ++i) {
      mixed[random.Below(4)].hits.push_back(
          Hit{std::string(1, static_cast<char>('a' + random.Below(6))),
              static_cast<double>(random.Below(3)),
              std::to_string(random.Below(2))});
    }
    for (const MergeRule rule : {MergeRule::kTopK, MergeRule::kUnion,
                                 MergeRule::kCount, MergeRule::kLookup}) {
      const Merged once = Merge(rule, mixed);
      std::vector<ShardReply> reordered = mixed;
      std::ranges::reverse(reordered);
      std::swap(reordered[0], reordered[random.Below(4)]);
      BOOST_TEST((once.hits == Merge(rule, reordered).hits));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
