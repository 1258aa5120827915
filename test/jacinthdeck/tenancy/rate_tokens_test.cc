// Tests of bucket, reserve and reservations of one account at one host.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "jacinthdeck/core/random.h"
#include "jacinthdeck/tenancy/account_tokens.h"
#include "jacinthdeck/tenancy/rate_reserve.h"
#include "jacinthdeck/tenancy/shared_bucket.h"
#include "jacinthdeck/tenancy/token_answers.h"
#include "jacinthdeck/tenancy/token_reservations.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Outcome = TokenDecision::Outcome;

constexpr TimePoint kTokenStart{seconds(100)};
const RatePlan plan_of_ten{.rate = 10, .burst = 10, .whole_token = true};

struct RateTokensFixture {
  ShareHistory history;
  AccountTokens tokens{plan_of_ten, seconds(5)};

  RateTokensFixture() { history.Set(1, kTokenStart); }

  [[nodiscard]] TokenDecision Decide(std::uint64_t hash, TimePoint now) {
    tokens.Advance(history, now);
    return tokens.Decide(hash, now);
  }
};

BOOST_FIXTURE_TEST_SUITE(RateTokensTest, RateTokensFixture)

// Guards against a bucket that starts full when a share moves to its host.
BOOST_AUTO_TEST_CASE(SharedBucket_ShareStarts_BucketIsEmpty) {
  SharedBucket bucket;
  bucket.Advance(plan_of_ten, history, kTokenStart);
  BOOST_TEST(bucket.level() == 0);
  bucket.Advance(plan_of_ten, history, kTokenStart + milliseconds(500));
  BOOST_TEST(bucket.level() == 5, boost::test_tools::tolerance(1e-9));
}

// Guards against tokens that stay after their share has moved to another host.
BOOST_AUTO_TEST_CASE(SharedBucket_ShareFalls_LevelIsCut) {
  SharedBucket bucket;
  bucket.Advance(plan_of_ten, history, kTokenStart + seconds(5));
  history.Set(0.25, kTokenStart + seconds(5));
  history.Set(1, kTokenStart + seconds(5) + milliseconds(1));
  bucket.Advance(plan_of_ten, history,
                 kTokenStart + seconds(5) + milliseconds(1));
  BOOST_TEST(bucket.level() == 2.5, boost::test_tools::tolerance(1e-9));
}

// Guards against a bucket that gains tokens when its account is forgotten.
BOOST_AUTO_TEST_CASE(SharedBucket_CreatedLate_SameAsUnusedOne) {
  SharedBucket early;
  Random random(1);
  TimePoint now = kTokenStart;
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(random.Below(400));
    history.Set(random.Unit(), now);
    early.Advance(plan_of_ten, history, now);
  }
  SharedBucket late;
  late.Advance(plan_of_ten, history, now);
  BOOST_TEST(late.level() == early.level(), boost::test_tools::tolerance(1e-9));
}

// Guards against an account below one request a second that no allocator can
// serve because one front is missing.
BOOST_AUTO_TEST_CASE(SharedBucket_MostOfShare_HoldsOneWholeToken) {
  const RatePlan small{.rate = 0.2, .burst = 1, .whole_token = true};
  BOOST_TEST(SharedBucket::SizeOf(small, 0.7) == 1);
  BOOST_TEST(SharedBucket::SizeOf(small, 0.5) == 0.5);
}

// Guards against a reserve that admits more than its size in a window.
BOOST_AUTO_TEST_CASE(RateReserve_Unpaid_ComesBackAfterOneWindow) {
  RateReserve reserve(seconds(5));
  reserve.SetSize(1);
  BOOST_TEST(reserve.TrySpend(kTokenStart));
  BOOST_TEST(!reserve.TrySpend(kTokenStart));
  reserve.Advance(kTokenStart + seconds(5));
  BOOST_TEST(!reserve.TrySpend(kTokenStart + seconds(5)));
  reserve.Advance(kTokenStart + seconds(5) + Duration(1));
  BOOST_TEST(reserve.TrySpend(kTokenStart + seconds(5) + Duration(1)));
  reserve.Settle(1);
  BOOST_TEST(reserve.available() == 1U);
}

// Guards against a refused caller that comes back in time and is refused again
// because newcomers took its token.
BOOST_AUTO_TEST_CASE(AccountTokens_NewcomersAtEightTimes_RetryAfterIsTrue) {
  Random random(7);
  std::vector<std::pair<TimePoint, std::uint64_t>> returns;
  std::size_t served = 0;
  std::uint64_t hash = 0;
  for (TimePoint now = kTokenStart; now < kTokenStart + seconds(6);
       now += Duration(12500)) {
    std::ranges::sort(returns, std::ranges::greater{});
    while (!returns.empty() && returns.back().first <= now) {
      const auto [at, returning] = returns.back();
      returns.pop_back();
      BOOST_REQUIRE(Decide(returning, now).outcome == Outcome::kGranted);
      ++served;
    }
    const TokenDecision decision = Decide(++hash, now);
    // Half of the callers do not come back.
    const bool waits = decision.retry_after < seconds(2) && random.Unit() < 0.5;
    if (decision.outcome == Outcome::kLimited && waits) {
      returns.emplace_back(now + decision.retry_after, hash);
    }
  }
  BOOST_TEST(served > 5U);
}

// Guards against tokens that are lost to callers that do not come back.
BOOST_AUTO_TEST_CASE(AccountTokens_NobodyReturns_TokensGoToOthers) {
  std::size_t granted = 0;
  std::uint64_t hash = 0;
  for (TimePoint now = kTokenStart; now < kTokenStart + seconds(10);
       now += Duration(12500)) {
    granted += Decide(++hash, now).outcome == Outcome::kGranted ? 1 : 0;
  }
  BOOST_TEST(granted > 88U);
  BOOST_TEST(granted <= 110U);
}

BOOST_AUTO_TEST_CASE(AccountTokens_ReturnsEarly_ToldTheTimeThatIsLeft) {
  const TokenDecision first = Decide(1, kTokenStart);
  BOOST_TEST(first.retry_after.count() == 100001);
  const TokenDecision again = Decide(1, kTokenStart + milliseconds(40));
  BOOST_TEST(again.retry_after.count() == 60001);
}

// Guards against a host without a share that refuses instead of saying that it
// cannot tell.
BOOST_AUTO_TEST_CASE(AccountTokens_NoShare_CannotTell) {
  history.Set(0, kTokenStart + seconds(1));
  BOOST_TEST(
      (Decide(1, kTokenStart + seconds(2)).outcome == Outcome::kNoShare));
}

// Guards against a table of reservations that grows without bound.
BOOST_AUTO_TEST_CASE(TokenReservations_Full_ReservesNoMore) {
  TokenReservations reservations;
  for (std::uint64_t hash = 0; hash < 2 * TokenReservations::kMost; ++hash) {
    (void)reservations.Reserve(hash, kTokenStart);
  }
  BOOST_TEST(reservations.size() == TokenReservations::kMost);
}

// Guards against a request that counts twice because its answer was lost.
BOOST_AUTO_TEST_CASE(TokenAnswers_RequestRepeated_SameAnswer) {
  TokenAnswers answers;
  const TokenRequest request{4, 100, {}};
  BOOST_TEST((answers.Check(request, kTokenStart) == TokenAnswers::Seen::kNew));
  answers.Add({4, 100, {{TenantId("x"), 1, 0, {}}}}, kTokenStart);
  BOOST_TEST((answers.Check(request, kTokenStart + milliseconds(20)) ==
              TokenAnswers::Seen::kAnswered));
  BOOST_TEST(answers.Find(4).awards.size() == 1U);
  BOOST_TEST((answers.Check(request, kTokenStart + seconds(2)) ==
              TokenAnswers::Seen::kOld));
  BOOST_TEST((answers.Check({1, 200, {}}, kTokenStart + seconds(2)) ==
              TokenAnswers::Seen::kNew));
  BOOST_TEST((answers.Check({5, 100, {}}, kTokenStart + seconds(2)) ==
              TokenAnswers::Seen::kOld));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace

}  // namespace jacinthdeck
