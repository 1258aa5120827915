// Tests of outlier ejection and reinstatement.
#include "jacinthdeck/routing/target_health.h"

#include <boost/test/unit_test.hpp>

namespace jacinthdeck {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct TargetHealthFixture {
  void End(HealthSample sample, int times, bool slower_than_peers = true) {
    for (int i = 0; i < times; ++i) {
      health.OnEnd(sample, slower_than_peers, now, random);
    }
  }

  void Probe(HealthSample sample) {
    now += seconds(1);
    BOOST_REQUIRE(health.MayProbe(now));
    health.OnProbe();
    BOOST_TEST(!health.MayProbe(now));
    End(sample, 1);
  }

  [[nodiscard]] HealthState State() const { return health.State(now); }

  Random random{1};
  TargetHealth health;
  TimePoint now = TimePoint() + seconds(100);
};

BOOST_FIXTURE_TEST_SUITE(TargetHealthTest, TargetHealthFixture)

BOOST_AUTO_TEST_CASE(State_ThreeFailuresInARow_IsEjected) {
  End(HealthSample::kFailed, 2);
  BOOST_TEST((State() == HealthState::kTrusted));
  End(HealthSample::kFailed, 1);
  BOOST_TEST((State() == HealthState::kEjected));
}

BOOST_AUTO_TEST_CASE(State_MostlySlowAttempts_IsEjected) {
  End(HealthSample::kGood, 12);
  End(HealthSample::kSlow, 10);
  BOOST_TEST((State() == HealthState::kEjected));
}

// The whole service is slow, so attempts at every target are late. Ejecting
// targets for this would move all requests to the remaining ones and cause an
// outage.
BOOST_AUTO_TEST_CASE(State_AsSlowAsItsPeers_StaysTrusted) {
  End(HealthSample::kSlow, 50, false);
  BOOST_TEST((State() == HealthState::kTrusted));
}

BOOST_AUTO_TEST_CASE(State_FewSlowAttempts_StaysTrusted) {
  for (int i = 0; i < 100; ++i) {
    End(i % 10 == 0 ? HealthSample::kSlow : HealthSample::kGood, 1);
  }
  BOOST_TEST((State() == HealthState::kTrusted));
}

BOOST_AUTO_TEST_CASE(State_ThreeGoodProbes_IsTrustedAgain) {
  End(HealthSample::kFailed, 3);
  Probe(HealthSample::kGood);
  Probe(HealthSample::kGood);
  BOOST_TEST((State() != HealthState::kTrusted));
  Probe(HealthSample::kGood);
  BOOST_TEST((State() == HealthState::kTrusted));
}

// A target stays down for a long time. Each probe delays one caller, so probes
// must become rare. They must not stop, or the target would never be
// reinstated.
BOOST_AUTO_TEST_CASE(State_ProbesKeepFailing_EjectionGrowsUpToABound) {
  End(HealthSample::kFailed, 3);
  Duration longest{};
  for (int i = 0; i < 20; ++i) {
    const TimePoint ejected = now;
    while (!health.MayProbe(now)) {
      now += milliseconds(100);
    }
    longest = std::max<Duration>(longest, now - ejected);
    health.OnProbe();
    End(HealthSample::kFailed, 1);
  }
  BOOST_TEST((longest > seconds(15)));
  BOOST_TEST((longest <= seconds(30) + milliseconds(100)));
}

// Requests sent before the ejection end successfully during it. They are not
// probes and must not reinstate the target early.
BOOST_AUTO_TEST_CASE(State_EarlierAttemptsEndDuringEjection_StaysEjected) {
  End(HealthSample::kFailed, 3);
  End(HealthSample::kGood, 10);
  BOOST_TEST((State() == HealthState::kEjected));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
