// Tests of StoreContent with changes and full content in any order.
#include "jacinthdeck/discovery/store_content.h"

#include <boost/test/unit_test.hpp>

#include "support/positions.h"

namespace jacinthdeck {

BOOST_AUTO_TEST_SUITE(StoreContentTest)

// Guards against requests to an address that may have a new owner: a target
// left, and a lagging feeder still sends its old entry.
BOOST_AUTO_TEST_CASE(Apply_OlderChangeAfterARemoval_IsIgnored) {
  StoreContent content;
  (void)content.Apply(std::vector<StoreChange>{{"a", At(5), "1"}});
  (void)content.Apply(std::vector<StoreChange>{{"a", At(9), std::nullopt}});
  BOOST_TEST(
      content.Apply(std::vector<StoreChange>{{"a", At(7), "2"}}).empty());
  BOOST_TEST(content.Items().empty());
  BOOST_TEST(
      content.Apply(std::vector<StoreChange>{{"a", At(10), "3"}}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(Replace_OlderThanWhatIsKnown_NewerKeysStay) {
  StoreContent content;
  (void)content.Apply(std::vector<StoreChange>{
      {"a", At(5), "1"}, {"b", At(20), "1"}, {"c", At(6), "1"}});
  const auto valid =
      content.Replace(std::vector<StoreChange>{{"a", At(4), "0"}}, At(10));
  BOOST_TEST(valid.size() == 1U);
  const auto items = content.Items();
  BOOST_REQUIRE_EQUAL(items.size(), 2U);
  BOOST_TEST(items[0].value.value() == "1");
  BOOST_TEST(items[1].key == "b");
}

BOOST_AUTO_TEST_CASE(Replace_ListsAKeyRemovedLater_IsLeftOut) {
  StoreContent content;
  (void)content.Apply(std::vector<StoreChange>{{"a", At(5), "1"}});
  (void)content.Apply(std::vector<StoreChange>{{"a", At(9), std::nullopt}});
  BOOST_TEST(content.Replace(std::vector<StoreChange>{{"a", At(5), "1"}}, At(8))
                 .empty());
}

// A follower changes to another feeder and sends the position up to which it
// knows all changes. It gets the writes and removals since, not full content.
BOOST_AUTO_TEST_CASE(ChangesSince_AfterAFullRead_ReturnsWritesAndRemovals) {
  StoreContent content;
  (void)content.Replace(
      std::vector<StoreChange>{
          {"a", At(3), "0"}, {"b", At(4), "0"}, {"c", At(5), "0"}},
      At(10));
  (void)content.Apply(std::vector<StoreChange>{{"b", At(11), std::nullopt},
                                               {"c", At(12), "1"}});
  const auto changes = content.ChangesSince(At(10));
  BOOST_REQUIRE(changes.has_value());
  BOOST_REQUIRE_EQUAL(changes->size(), 2U);
  BOOST_TEST(changes->at(0).key == "b");
  BOOST_TEST(!changes->at(0).value.has_value());
  BOOST_TEST(changes->at(1).key == "c");
  BOOST_TEST(content.ChangesSince(At(12))->empty());
}

// This host cannot know what was removed before its first full read, so a
// follower with an older position needs full content.
BOOST_AUTO_TEST_CASE(ChangesSince_BeforeTheFirstFullRead_ReturnsNothing) {
  StoreContent content;
  BOOST_TEST(!content.ChangesSince(At(0)).has_value());
  (void)content.Replace(std::vector<StoreChange>{{"a", At(3), "0"}}, At(10));
  BOOST_TEST(!content.ChangesSince(At(9)).has_value());
}

// The store compacted its history and was read again. A key that disappeared
// between the two full reads is reported as removed since the first one.
BOOST_AUTO_TEST_CASE(
    ChangesSince_AcrossASecondFullRead_ReturnsRemovalsInBetween) {
  StoreContent content;
  (void)content.Replace(
      std::vector<StoreChange>{{"a", At(3), "0"}, {"b", At(4), "0"}}, At(10));
  (void)content.Replace(std::vector<StoreChange>{{"a", At(3), "0"}}, At(20));
  const auto changes = content.ChangesSince(At(10));
  BOOST_REQUIRE(changes.has_value());
  BOOST_REQUIRE_EQUAL(changes->size(), 1U);
  BOOST_TEST(changes->front().key == "b");
  BOOST_TEST(!changes->front().value.has_value());
}

BOOST_AUTO_TEST_CASE(ChangesSince_TooManyRemovals_OldestAreForgotten) {
  StoreContent content;
  (void)content.Replace({}, At(1));
  std::uint64_t revision = 1;
  for (std::size_t i = 0; i <= StoreContent::kMaxRemovals; ++i) {
    const std::string key = "k" + std::to_string(i);
    (void)content.Apply(std::vector<StoreChange>{{key, At(++revision), "0"}});
    (void)content.Apply(
        std::vector<StoreChange>{{key, At(++revision), std::nullopt}});
  }
  BOOST_TEST(!content.ChangesSince(At(1)).has_value());
  BOOST_TEST(content.ChangesSince(At(3)).has_value());
}

// Guards against new content that is ignored because a restored store has used
// its revision before.
BOOST_AUTO_TEST_CASE(Replace_NewerEraAtALowerRevision_ReplacesAllKeys) {
  StoreContent content;
  (void)content.Replace(
      std::vector<StoreChange>{{"a", At(80), "1"}, {"b", At(81), "1"}}, At(83));
  const auto valid = content.Replace(
      std::vector<StoreChange>{{"a", At(75, 2), "2"}}, At(76, 2));
  BOOST_TEST(valid.size() == 1U);
  const auto items = content.Items();
  BOOST_REQUIRE_EQUAL(items.size(), 1U);
  BOOST_TEST(items[0].value.value() == "2");
}

// Guards against a mix of entries of two eras.
BOOST_AUTO_TEST_CASE(Apply_ChangeOfAnEndedEra_IsIgnored) {
  StoreContent content;
  (void)content.Replace(std::vector<StoreChange>{{"a", At(3, 2), "2"}},
                        At(4, 2));
  const std::vector<StoreChange> late{{"a", At(90), "1"}, {"b", At(91), "1"}};
  BOOST_TEST(content.Apply(late).empty());
  BOOST_TEST(content.Items().size() == 1U);
}

// Guards against a follower that gets changes after a revision of another era.
BOOST_AUTO_TEST_CASE(ChangesSince_PositionOfAnotherEra_ReturnsNothing) {
  StoreContent content;
  (void)content.Replace(std::vector<StoreChange>{{"a", At(3, 2), "2"}},
                        At(4, 2));
  BOOST_TEST(!content.ChangesSince(At(83, 1)).has_value());
  BOOST_TEST(content.ChangesSince(At(4, 2)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
