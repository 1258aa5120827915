// Tests of the quarantine of requests that crash their targets.
#include "jacinthdeck/forward/crash_guard.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>

#include "jacinthdeck/core/manual_clock.h"

namespace jacinthdeck {

struct CrashGuardFixture {
  CrashGuard guard;
  ManualClock clock;
  const Fingerprint request{7};

  [[nodiscard]] bool RecordLostCalls(int calls) {
    bool quarantined = false;
    for (int call = 0; call < calls; ++call) {
      quarantined |= guard.OnCallLost(request, clock.Now());
    }
    return quarantined;
  }
};

BOOST_FIXTURE_TEST_SUITE(CrashGuardTest, CrashGuardFixture)

BOOST_AUTO_TEST_CASE(Request_LostTwiceWithoutAnswer_IsQuarantinedOnce) {
  BOOST_TEST(!RecordLostCalls(1));
  BOOST_TEST(guard.IsSuspect(request, clock.Now()));
  BOOST_TEST(RecordLostCalls(1));
  BOOST_TEST(guard.IsQuarantined(request, clock.Now()));
  BOOST_TEST(!RecordLostCalls(1));
  clock.Advance(CrashGuard::kRetention);
  BOOST_TEST(!guard.IsQuarantined(request, clock.Now()));
}

// Guards against a quarantine of a popular request, whose callers would all be
// refused for a minute. Targets answer it all the time; then some of them lose
// answers for a second, and two calls in a row get none. Without the record of
// answers it would be taken for a request that crashes its targets, and the
// other hosts would be told so.
BOOST_AUTO_TEST_CASE(Request_AnsweredRecently_IsNotQuarantined) {
  guard.OnAnswered(request, clock.Now());
  clock.Advance(std::chrono::seconds(5));
  BOOST_TEST(!RecordLostCalls(4));
  BOOST_TEST(!guard.IsQuarantined(request, clock.Now()));
  guard.QuarantineRequest(request, clock.Now());
  BOOST_TEST(!guard.IsQuarantined(request, clock.Now()));
}

BOOST_AUTO_TEST_CASE(Request_AnswerExpired_IsQuarantined) {
  guard.OnAnswered(request, clock.Now());
  clock.Advance(CrashGuard::kRetention);
  BOOST_TEST(RecordLostCalls(2));
}

BOOST_AUTO_TEST_CASE(Request_OtherRequestsAnswered_IsQuarantined) {
  for (std::uint64_t other = 100; other < 5000; ++other) {
    guard.OnAnswered(Fingerprint(other), clock.Now());
  }
  BOOST_TEST(RecordLostCalls(2));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
