// Tests of content that arrives in any order.
#include "jacinthdeck/discovery/store_content.h"

#include <boost/test/unit_test.hpp>

namespace jacinthdeck {

BOOST_AUTO_TEST_SUITE(StoreContentTest)

// A target leaves; a feeder that lags hands its old entry on. It must not come
// back, or requests go to an address that may have a new owner.
BOOST_AUTO_TEST_CASE(Apply_OldWordAfterARemoval_IsNoNews) {
  StoreContent content;
  (void)content.Apply(std::vector<StoreChange>{{"a", 5, "1"}});
  (void)content.Apply(std::vector<StoreChange>{{"a", 9, std::nullopt}});
  BOOST_TEST(content.Apply(std::vector<StoreChange>{{"a", 7, "2"}}).empty());
  BOOST_TEST(content.Items().empty());
  BOOST_TEST(content.Apply(std::vector<StoreChange>{{"a", 10, "3"}}).size() ==
             1U);
}

BOOST_AUTO_TEST_CASE(Replace_OlderThanWhatIsKnown_NewerKeysStay) {
  StoreContent content;
  (void)content.Apply(
      std::vector<StoreChange>{{"a", 5, "1"}, {"b", 20, "1"}, {"c", 6, "1"}});
  const auto valid =
      content.Replace(std::vector<StoreChange>{{"a", 4, "0"}}, 10);
  BOOST_TEST(valid.size() == 1U);
  const auto items = content.Items();
  BOOST_REQUIRE_EQUAL(items.size(), 2U);
  BOOST_TEST(items[0].value.value() == "1");
  BOOST_TEST(items[1].key == "b");
}

BOOST_AUTO_TEST_CASE(Replace_NamesWhatWasRemovedLater_IsLeftOut) {
  StoreContent content;
  (void)content.Apply(std::vector<StoreChange>{{"a", 5, "1"}});
  (void)content.Apply(std::vector<StoreChange>{{"a", 9, std::nullopt}});
  BOOST_TEST(
      content.Replace(std::vector<StoreChange>{{"a", 5, "1"}}, 8).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
