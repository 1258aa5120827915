// Tests of the key-value content of the stand-in store.
#include "store/kv_store.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

#include "jacinthdeck/core/manual_clock.h"

namespace jacinthdeck::standins {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct KvStoreFixture {
  ManualClock clock;
  KvStore store{clock};
  std::uint64_t revision = 0;

  TransactionOutcome Put(const std::string& key,
                         const std::string& value,
                         std::uint64_t lease = 0) {
    return store.Apply({{}, {{key, value, lease}}, {}}, revision);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(KvStoreTest, KvStoreFixture)

BOOST_AUTO_TEST_CASE(Apply_ConditionFails_ChangesNothing) {
  BOOST_TEST((Put("a", "1") == TransactionOutcome::kApplied));
  const Transaction transaction{{{"a", 0}}, {{"b", "2", 0}}, {"a"}};
  BOOST_TEST(
      (store.Apply(transaction, revision) == TransactionOutcome::kConflict));
  BOOST_TEST(store.Get("a").has_value());
  BOOST_TEST(!store.Get("b").has_value());
}

BOOST_AUTO_TEST_CASE(Lease_Expires_RemovesItsKeysAndNotifiesWatch) {
  const std::uint64_t lease = store.Grant(seconds(1));
  BOOST_TEST((Put("a", "1", lease) == TransactionOutcome::kApplied));
  clock.Advance(milliseconds(600));
  BOOST_TEST(store.Renew(lease).has_value());
  clock.Advance(milliseconds(600));
  BOOST_TEST(store.Get("a").has_value());
  clock.Advance(seconds(1));
  const WatchResult result = store.Watch("", revision, milliseconds(0));
  BOOST_REQUIRE_EQUAL(result.events.size(), 1U);
  BOOST_TEST(!result.events[0].value.has_value());
  BOOST_TEST(!store.Renew(lease).has_value());
  BOOST_TEST((Put("b", "1", lease) == TransactionOutcome::kNoLease));
}

BOOST_AUTO_TEST_CASE(Watch_HistoryCompacted_ReportsCompaction) {
  (void)Put("a", "1");
  const std::uint64_t before = revision;
  (void)Put("a", "2");
  store.Compact();
  BOOST_TEST(store.Watch("", before, milliseconds(0)).compacted);
  BOOST_TEST(!store.Watch("", revision, milliseconds(0)).compacted);
}

BOOST_AUTO_TEST_CASE(Range_MoreThanOnePage_ContinuesAfterLastKey) {
  Transaction transaction;
  for (int i = 1000; i < 1700; ++i) {
    transaction.puts.push_back({"k" + std::to_string(i), "v", 0});
  }
  (void)store.Apply(transaction, revision);
  const KeyPage first = store.Range("k", "");
  BOOST_TEST(first.has_more);
  const KeyPage second = store.Range("k", first.items.back().key);
  BOOST_TEST(!second.has_more);
  BOOST_TEST(first.items.size() + second.items.size() == 700U);
}

// Guards against a watch that waits for a lost revision. A restore discards the
// revisions since the snapshot and assigns them again later; a watch from one
// of them must report at once that the history is not available.
BOOST_AUTO_TEST_CASE(Restore_AfterChanges_ReusesRevisions) {
  (void)Put("a", "1");
  const std::uint64_t snapshot_revision = revision;
  store.TakeSnapshot();
  (void)Put("a", "2");
  (void)Put("b", "1");
  const std::uint64_t before = revision;
  BOOST_TEST(store.Restore());
  BOOST_TEST(store.era() == 2U);
  BOOST_TEST(store.Get("a")->value.value() == "1");
  BOOST_TEST(!store.Get("b").has_value());
  BOOST_TEST(store.Watch("", before, milliseconds(0)).compacted);
  (void)Put("c", "1");
  BOOST_TEST(revision == snapshot_revision + 1);
  BOOST_TEST(
      store.Watch("", snapshot_revision, milliseconds(0)).events.size() == 1U);
}

BOOST_AUTO_TEST_CASE(
    RenewLeaseIfUnchanged_SameValue_RenewsLeaseWithoutRevision) {
  const std::uint64_t lease = store.Grant(seconds(1));
  BOOST_TEST((Put("a", "1", lease) == TransactionOutcome::kApplied));
  clock.Advance(milliseconds(600));
  BOOST_TEST(store.RenewLeaseIfUnchanged("a", "1"));
  BOOST_TEST(!store.RenewLeaseIfUnchanged("a", "2"));
  BOOST_TEST(!store.RenewLeaseIfUnchanged("b", "1"));
  clock.Advance(milliseconds(600));
  BOOST_TEST(store.revision() == revision);
  BOOST_TEST(store.Get("a").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::standins
