// Tests of the table of ends of targets that an answer may still refute.
#include "jacinthdeck/forward/deferred_evidence.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

#include "jacinthdeck/core/manual_clock.h"

namespace jacinthdeck {

using std::chrono::milliseconds;

struct DeferredEvidenceFixture {
  DeferredEvidence deferred;
  ManualClock clock;
  const Fingerprint request{7};
  const ServiceId service{"s"};

  //! Adds an end of a target under an attempt sent now, due after a time.
  [[nodiscard]] bool Add(const ServiceId& of, Duration until_due) {
    return deferred.Add({.source = EvidenceSource::kOwnAttempt,
                         .fingerprint = request,
                         .service = of,
                         .target = TargetId("t"),
                         .probe = false,
                         .since = clock.Now(),
                         .due = clock.Now() + until_due});
  }
};

BOOST_FIXTURE_TEST_SUITE(DeferredEvidenceTest, DeferredEvidenceFixture)

BOOST_AUTO_TEST_CASE(Crash_NotRefuted_IsTakenOnceWhenDue) {
  BOOST_TEST(!deferred.NextDue().has_value());
  BOOST_REQUIRE(Add(service, milliseconds(5)));
  BOOST_REQUIRE(Add(service, milliseconds(3)));
  BOOST_TEST((deferred.NextDue() == clock.Now() + milliseconds(3)));
  clock.Advance(milliseconds(3));
  BOOST_TEST(deferred.TakeDue(clock.Now()).size() == 1U);
  BOOST_TEST(deferred.TakeDue(clock.Now()).empty());
  clock.Advance(milliseconds(2));
  BOOST_TEST(deferred.TakeDue(clock.Now()).size() == 1U);
  BOOST_TEST(deferred.size() == 0U);
}

BOOST_AUTO_TEST_CASE(Crash_LaterAttemptAnswered_IsRefuted) {
  BOOST_REQUIRE(Add(service, milliseconds(5)));
  BOOST_TEST(deferred.TakeRefuted(request, service, clock.Now()).size() == 1U);
  BOOST_TEST(deferred.size() == 0U);
}

// Guards against answers that say nothing of the end: to an attempt sent before
// it, to another request, or of another service.
BOOST_AUTO_TEST_CASE(Crash_UnrelatedAttemptAnswered_StaysDeferred) {
  const TimePoint earlier = clock.Now();
  clock.Advance(milliseconds(1));
  BOOST_REQUIRE(Add(service, milliseconds(5)));
  BOOST_TEST(deferred.TakeRefuted(request, service, earlier).empty());
  BOOST_TEST(
      deferred.TakeRefuted(Fingerprint(8), service, clock.Now()).empty());
  BOOST_TEST(
      deferred.TakeRefuted(request, ServiceId("t"), clock.Now()).empty());
  BOOST_TEST(deferred.size() == 1U);
}

// Guards against an unbounded table while many targets end.
BOOST_AUTO_TEST_CASE(Table_IsFull_RefusesFurtherCrashes) {
  for (std::size_t at = 0; at < DeferredEvidence::kMaxCrashes; ++at) {
    BOOST_REQUIRE(Add(service, milliseconds(5)));
  }
  BOOST_TEST(!Add(service, milliseconds(5)));
  BOOST_TEST(deferred.size() == DeferredEvidence::kMaxCrashes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
