// Tests of the leases of shares: given, held, counted and moved.
#include <bit>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "jacinthdeck/tenancy/allocator_choice.h"
#include "jacinthdeck/tenancy/lease_table.h"
#include "jacinthdeck/tenancy/share_exchange.h"
#include "jacinthdeck/tenancy/share_ledger.h"
#include "jacinthdeck/tenancy/sharer_census.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const HostId host_a("a");
const HostId host_b("b");
constexpr TimePoint kLeaseStart{seconds(100)};
constexpr std::uint64_t kAll = ~std::uint64_t{0};

[[nodiscard]] std::vector<HostId> Hosts(int count) {
  std::vector<HostId> hosts;
  hosts.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    hosts.emplace_back("h" + std::to_string(i));
  }
  return hosts;
}

BOOST_AUTO_TEST_SUITE(RateSharesTest)

// Guards against accounts that move between allocators for no reason.
BOOST_AUTO_TEST_CASE(AllocatorChoice_HostLeaves_OnlyItsPartitionsMove) {
  AllocatorChoice before;
  AllocatorChoice after;
  before.SetFronts(Hosts(9));
  after.SetFronts(Hosts(8));
  std::size_t moved = 0;
  for (std::size_t p = 0; p < kRatePartitions; ++p) {
    const HostId& old_host = before.fronts()[before.Ranked(p).front()];
    const HostId& new_host = after.fronts()[after.Ranked(p).front()];
    BOOST_TEST((old_host == new_host || old_host == HostId("h8")));
    moved += old_host == new_host ? 0 : 1;
  }
  BOOST_TEST(moved > 0U);
  BOOST_TEST(moved < 20U);
}

// Guards against a share that is leased to two hosts at a time.
BOOST_AUTO_TEST_CASE(ShareLedger_LeaseInForce_NotGivenToAnotherHost) {
  ShareLedger ledger(kLeaseStart);
  BOOST_TEST(ledger.Lease(host_a, 3, kLeaseStart) == 3U);
  const TimePoint end = kLeaseStart + kLeaseLifetime + kLeaseMargin;
  BOOST_TEST(ledger.Lease(host_b, kAll, end - milliseconds(1)) == (kAll - 3));
  BOOST_TEST(!ledger.IsFree(0, end - milliseconds(1)));
  BOOST_TEST(ledger.IsFree(0, end));
  BOOST_TEST(ledger.Lease(host_b, 3, end) == 3U);
}

// Guards against a restarted host that uses a share which the previous process
// has leased.
BOOST_AUTO_TEST_CASE(ShareLedger_ProcessStarts_ShareNotUsedForOneLease) {
  const ShareLedger ledger(kLeaseStart);
  BOOST_TEST(!ledger.IsFree(0, kLeaseStart + kLeaseLifetime));
  BOOST_TEST(ledger.IsFree(0, kLeaseStart + kLeaseLifetime + kLeaseMargin));
}

// Guards against an answer that extends a lease because it was late.
BOOST_AUTO_TEST_CASE(LeaseTable_LateAnswer_LeaseCountsFromItsRequest) {
  LeaseTable table;
  table.OnRequestSent(host_a, 7, kLeaseStart);
  const TimePoint late = kLeaseStart + kLeaseLifetime - milliseconds(1);
  BOOST_TEST(table.OnLease(host_a, {7, 0.25, 1}, late).has_value());
  BOOST_TEST(table.SumAt(late)[0] == 0.25);
  BOOST_TEST(table.SumAt(kLeaseStart + kLeaseLifetime)[0] == 0);
}

// Guards against answers that are repeated, overtaken, too late or foreign.
BOOST_AUTO_TEST_CASE(LeaseTable_AnswerWithoutNewRequest_Ignored) {
  LeaseTable table;
  table.OnRequestSent(host_a, 7, kLeaseStart);
  table.OnRequestSent(host_a, 8, kLeaseStart + milliseconds(1));
  BOOST_TEST(table.OnLease(host_a, {8, 0.25, 1}, kLeaseStart).has_value());
  BOOST_TEST(!table.OnLease(host_a, {8, 0.5, 1}, kLeaseStart).has_value());
  BOOST_TEST(!table.OnLease(host_a, {7, 0.5, 1}, kLeaseStart).has_value());
  BOOST_TEST(!table.OnLease(host_a, {9, 0.5, 1}, kLeaseStart).has_value());
  BOOST_TEST(!table.OnLease(host_a, {0, 0.5, 1}, kLeaseStart).has_value());
  BOOST_TEST(!table.OnLease(host_b, {8, 0.5, 1}, kLeaseStart).has_value());
  table.OnRequestSent(host_a, 10, kLeaseStart);
  BOOST_TEST(!table.OnLease(host_a, {10, 0.5, 1}, kLeaseStart + kLeaseLifetime)
                  .has_value());
  BOOST_TEST(table.SumAt(kLeaseStart)[0] == 0.25);
}

// Guards against a share that is too large while a host that has left the list
// may still use its own.
BOOST_AUTO_TEST_CASE(SharerCensus_HostLeavesList_CountsUntilReleased) {
  SharerCensus census(host_a);
  census.SetListed(std::vector<HostId>{host_a, host_b}, 2, kLeaseStart);
  const HostId other("c");
  census.SetListed(std::vector<HostId>{host_a, other}, 2, kLeaseStart);
  BOOST_TEST(census.Count() == 3U);
  census.OnRelease(host_b);
  BOOST_TEST(census.Count() == 2U);
  census.OnSign(host_b, kLeaseStart);
  BOOST_TEST(census.Count() == 3U);
  census.Advance(kLeaseStart + SharerCensus::kSharerMemory + milliseconds(1));
  BOOST_TEST(census.Count() == 2U);
}

// Guards against a host that is cut off and goes on with a share that the
// others have divided among them.
BOOST_AUTO_TEST_CASE(SharerCensus_NoAnswers_NotInTouch) {
  SharerCensus census(host_a);
  census.SetListed(std::vector<HostId>{host_a, host_b, HostId("c")}, 3,
                   kLeaseStart);
  BOOST_TEST(!census.InTouch(kLeaseStart));
  census.OnAnswer(host_b, kLeaseStart);
  BOOST_TEST(census.InTouch(kLeaseStart));
  BOOST_TEST(!census.InTouch(kLeaseStart + SharerCensus::kTouchTime));
  BOOST_TEST((SharerCensus::kTouchTime + kLeaseLifetime + kLeaseMargin <
              SharerCensus::kSharerMemory));
}

// Guards against a share in use at two places: at the front and the allocator.
BOOST_AUTO_TEST_CASE(ShareExchange_ShareLeased_InUseOnce) {
  ShareExchange a(host_a, 1, kLeaseStart);
  ShareExchange b(host_b, 1, kLeaseStart);
  const std::vector<HostId> fronts{host_a, host_b};
  a.SetHosts(fronts, 2, true, kLeaseStart);
  b.SetHosts(fronts, 2, true, kLeaseStart);
  TimePoint now = kLeaseStart;
  for (int i = 0; i < 40; ++i, now += milliseconds(50)) {
    a.Advance(now);
    b.Advance(now);
    // Some requests and answers are lost.
    if (i % 3 != 0 || i > 30) {
      const ShareLease lease = b.Answer(host_a, a.RequestTo(host_b, now), now);
      a.OnLease(host_b, lease, now);
    }
    if (i % 4 != 0 || i > 30) {
      const ShareLease lease = a.Answer(host_b, b.RequestTo(host_a, now), now);
      b.OnLease(host_a, lease, now);
    }
    for (std::size_t p = 0; p < kRatePartitions; ++p) {
      BOOST_REQUIRE_LE(a.history(p).share() + b.history(p).share(), 1.0);
    }
  }
  for (std::size_t p = 0; p < kRatePartitions; ++p) {
    BOOST_TEST(a.history(p).share() + b.history(p).share() == 1.0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace

}  // namespace jacinthdeck
