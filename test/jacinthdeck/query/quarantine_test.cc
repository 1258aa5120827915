// Tests of the quarantine state of crashing requests.
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

BOOST_AUTO_TEST_CASE(RecordCrash_AttemptsInFlightAtFirstCrash_AreOneRound) {
  BOOST_TEST((quarantine.RecordCrash(request, range, false, now) ==
              QuarantineState::kSuspect));
  BOOST_TEST((quarantine.RecordCrash(request, KeyRange{100, 200}, false, now) ==
              QuarantineState::kNone));
  BOOST_TEST((quarantine.StateOf(request, now) == QuarantineState::kSuspect));
  BOOST_TEST((quarantine.RecordCrash(request, range, true, now) ==
              QuarantineState::kQuarantined));
}

// A request crashes targets on the data of one shard only. If its completion on
// other shards cleared it, it would never be quarantined and crash targets
// without limit.
BOOST_AUTO_TEST_CASE(RecordCompletion_OtherKeys_DoesNotClear) {
  (void)quarantine.RecordCrash(request, range, false, now);
  BOOST_TEST(!quarantine.RecordCompletion(request, KeyRange{100, 200}, now));
  BOOST_TEST(quarantine.RecordCompletion(request, range, now));
  BOOST_TEST((quarantine.StateOf(request, now) == QuarantineState::kNone));
}

BOOST_AUTO_TEST_CASE(RecordCompletion_Quarantined_StaysQuarantined) {
  quarantine.AddPeerQuarantine(request, now);
  BOOST_TEST(!quarantine.RecordCompletion(request, range, now));
  BOOST_TEST(
      (quarantine.StateOf(request, now) == QuarantineState::kQuarantined));
}

BOOST_AUTO_TEST_CASE(StateOf_TtlsExpire_QuarantinedThenSuspectThenNone) {
  quarantine.AddPeerQuarantine(request, now);
  now += options.quarantine_ttl;
  BOOST_TEST((quarantine.StateOf(request, now) == QuarantineState::kSuspect));
  BOOST_TEST(!quarantine.QuarantinedUntil(request, now).has_value());
  now += options.suspect_ttl;
  BOOST_TEST((quarantine.StateOf(request, now) == QuarantineState::kNone));
  BOOST_TEST(quarantine.Entries(now).empty());
}

// A flood of suspects fills the table. Quarantined requests are not evicted.
BOOST_AUTO_TEST_CASE(RecordCrash_TableFull_QuarantinedEntriesAreKept) {
  quarantine.AddPeerQuarantine(request, now);
  now += options.quarantine_ttl - options.suspect_ttl / 2;
  for (std::uint64_t i = 10; i < 30; ++i) {
    now += std::chrono::milliseconds(1);
    (void)quarantine.RecordCrash(Fingerprint(i), range, false, now);
  }
  BOOST_TEST(
      (quarantine.StateOf(request, now) == QuarantineState::kQuarantined));
  BOOST_TEST(
      (quarantine.StateOf(Fingerprint(29), now) == QuarantineState::kSuspect));
  BOOST_TEST(quarantine.Entries(now).size() == options.limit);
}

BOOST_AUTO_TEST_CASE(AddPeerSuspect_ProbeCrashesTarget_IsQuarantined) {
  quarantine.AddPeerSuspect(request, now);
  BOOST_TEST((quarantine.RecordCrash(request, range, true, now) ==
              QuarantineState::kQuarantined));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
