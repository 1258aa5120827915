// Tests of the evidence about crashing requests.
#include "jacinthdeck/query/quarantine.h"

#include <boost/test/unit_test.hpp>

namespace jacinthdeck {

struct QuarantineRulesFixture {
  QuarantineOptions options{.limit = 4};
  Quarantine quarantine{options};
  const Fingerprint request{1};
  const KeyRange range{0, 100};
  TimePoint now;
};

BOOST_FIXTURE_TEST_SUITE(QuarantineTest, QuarantineRulesFixture)

BOOST_AUTO_TEST_CASE(Blame_DeathsBeforeTheFirstIsSeen_AreOneRound) {
  BOOST_TEST(
      (quarantine.Blame(request, range, false, now) == Suspicion::kSuspect));
  BOOST_TEST((quarantine.Blame(request, KeyRange{100, 200}, false, now) ==
              Suspicion::kNone));
  BOOST_TEST((quarantine.Of(request, now) == Suspicion::kSuspect));
  BOOST_TEST(
      (quarantine.Blame(request, range, true, now) == Suspicion::kConvicted));
}

// A request crashes on the data of one shard. That other shards survive it says
// nothing; believed, it would be cleared each time and kill without end.
BOOST_AUTO_TEST_CASE(Survived_OtherKeys_DoesNotClear) {
  (void)quarantine.Blame(request, range, false, now);
  BOOST_TEST(!quarantine.Survived(request, KeyRange{100, 200}, now));
  BOOST_TEST(quarantine.Survived(request, range, now));
  BOOST_TEST((quarantine.Of(request, now) == Suspicion::kNone));
}

BOOST_AUTO_TEST_CASE(Survived_Convicted_StaysConvicted) {
  quarantine.ConvictionTold(request, now);
  BOOST_TEST(!quarantine.Survived(request, range, now));
  BOOST_TEST((quarantine.Of(request, now) == Suspicion::kConvicted));
}

BOOST_AUTO_TEST_CASE(Of_LivesEnd_ConvictionThenSuspicionThenNothing) {
  quarantine.ConvictionTold(request, now);
  now += options.conviction_life;
  BOOST_TEST((quarantine.Of(request, now) == Suspicion::kSuspect));
  BOOST_TEST(!quarantine.ConvictedUntil(request, now).has_value());
  now += options.suspect_life;
  BOOST_TEST((quarantine.Of(request, now) == Suspicion::kNone));
  BOOST_TEST(quarantine.Entries(now).empty());
}

// A flood of suspects fills the table. A known killer stays refused.
BOOST_AUTO_TEST_CASE(Blame_TableFull_ConvictionsAreKept) {
  quarantine.ConvictionTold(request, now);
  now += options.conviction_life - options.suspect_life / 2;
  for (std::uint64_t i = 10; i < 30; ++i) {
    now += std::chrono::milliseconds(1);
    (void)quarantine.Blame(Fingerprint(i), range, false, now);
  }
  BOOST_TEST((quarantine.Of(request, now) == Suspicion::kConvicted));
  BOOST_TEST((quarantine.Of(Fingerprint(29), now) == Suspicion::kSuspect));
  BOOST_TEST(quarantine.Entries(now).size() == options.limit);
}

BOOST_AUTO_TEST_CASE(SuspectTold_ByPeer_NextDeathConvicts) {
  quarantine.SuspectTold(request, now);
  BOOST_TEST(
      (quarantine.Blame(request, range, true, now) == Suspicion::kConvicted));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
