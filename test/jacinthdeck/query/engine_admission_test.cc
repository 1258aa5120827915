// Tests of admission: overload, fairness between tenants, draining and callers
// that go away.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <limits>

#include "fleet_fixture.h"

namespace jacinthdeck {

struct AdmissionFixture : FleetFixture {
  using FleetFixture::FleetFixture;

  //! Disables outlier ejection, which removes healthy targets under overload
  //! and would make the results of admission depend on the seed.
  [[nodiscard]] static RouterOptions WithoutEjection() {
    RouterOptions options;
    options.eject_outliers = false;
    return options;
  }

  //! Submits calls at even intervals; returns the whole answers per second.
  double OfferLoad(double calls_per_second, Duration length) {
    const auto gap =
        Duration(static_cast<Duration::rep>(1e6 / calls_per_second));
    const std::size_t before = CountOf(Outcome::kWhole);
    const TimePoint start = clock.Now();
    while (clock.Now() < start + length) {
      (void)SubmitAndFlush(MakeFleetCall(Search(), Fingerprint(next_call)));
      RunFor(gap);
    }
    RunFor(kDeadline);
    return static_cast<double>(CountOf(Outcome::kWhole) - before) /
           (static_cast<double>(length.count()) / 1e6);
  }

  //! Uses all capacity of the targets, so that further calls wait.
  void Saturate() {
    for (int i = 0; i < 1000 && engine.waiting_calls() == 0; ++i) {
      (void)Submit(Search());
    }
    BOOST_REQUIRE(engine.waiting_calls() == 1U);
  }

  [[nodiscard]] std::size_t Refusals(AnswerReason reason) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(effects.answers, [reason](const auto& one) {
          return one.answer.outcome == Outcome::kNotRun &&
                 one.answer.reason == reason;
        }));
  }
};

BOOST_FIXTURE_TEST_SUITE(EngineAdmissionTest, AdmissionFixture)

// Callers send twice the load that the targets can serve. Without admission,
// each call would get answers from some shards and miss its deadline on the
// others: the targets are busy, but no answer is whole. With admission, calls
// that cannot be served are refused before they cost anything, and the others
// get whole answers.
BOOST_AUTO_TEST_CASE(Engine_TwiceCapacityOffered_GoodputDoesNotCollapse) {
  constexpr double kCapacity = 800;  // 9 slots per shard, 11 ms per request
  double once = 0;
  double twice = 0;
  std::size_t wasted = 0;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    AdmissionFixture at_capacity(seed, {}, {}, WithoutEjection());
    once += at_capacity.OfferLoad(kCapacity, std::chrono::seconds(4));
    AdmissionFixture at_twice_capacity(seed, {}, {}, WithoutEjection());
    twice +=
        at_twice_capacity.OfferLoad(2 * kCapacity, std::chrono::seconds(4));
    wasted += at_twice_capacity.CountOf(Outcome::kPartial);
    wasted += at_twice_capacity.CountOf(Outcome::kUnknown);
  }
  BOOST_TEST_MESSAGE("goodput at 1x " << once / 4 << ", at 2x " << twice / 4
                                      << " a second, not whole " << wasted);
  BOOST_TEST(twice >= 0.95 * once);
  BOOST_TEST(static_cast<double>(wasted) < 0.01 * 16 * twice);
}

// One tenant sends ten times the load that the targets can serve, and another
// one sends a tenth of what they can serve. The second one is not affected: it
// uses less than its share, so its calls start first.
BOOST_AUTO_TEST_CASE(Engine_OneTenantFloods_OtherTenantIsServed) {
  std::vector<CallId> quiet;
  for (int i = 0; i < 16000; ++i) {
    Call call = MakeFleetCall(Search(), Fingerprint(next_call));
    call.tenant = TenantId(i % 100 == 0 ? "quiet" : "flood");
    const bool is_quiet = i % 100 == 0;
    const CallId id = SubmitAndFlush(std::move(call));
    if (is_quiet) {
      quiet.push_back(id);
    }
    RunFor(std::chrono::microseconds(125));
  }
  RunFor(kDeadline);
  const auto whole = std::ranges::count_if(quiet, [this](CallId id) {
    return answers.at(id).outcome == Outcome::kWhole;
  });
  BOOST_TEST_MESSAGE("quiet tenant: " << whole << " whole of " << quiet.size());
  BOOST_TEST(static_cast<double>(whole) >=
             0.99 * static_cast<double>(quiet.size()));
}

// One tenant has filled the queue. Its next call is refused at once as not run
// and with a retry_after, while a call of another tenant is still queued.
BOOST_AUTO_TEST_CASE(Engine_WaitingQueueFull_RefusesTheTenantOverItsShare) {
  Saturate();
  const std::size_t max_waiting = AdmissionOptions().max_waiting_calls;
  while (engine.waiting_calls() < max_waiting) {
    (void)Submit(Search());
  }
  (void)Submit(Search());
  BOOST_TEST(Refusals(AnswerReason::kOverload) == 1U);
  BOOST_TEST(effects.answers.back().answer.retry_after.has_value());
  BOOST_TEST(effects.answers.back().answer.attempts == 0U);
  Call other = MakeCall(Search());
  other.tenant = TenantId("other");
  (void)Submit(std::move(other));
  BOOST_TEST(Refusals(AnswerReason::kTenantLimit) == 1U);
  BOOST_TEST(engine.waiting_calls() == max_waiting);
}

// A waiting call can no longer be answered before its deadline. It is refused
// at that time as not run, instead of waiting until a target is free.
BOOST_AUTO_TEST_CASE(Engine_WaitingCallOutOfTime_IsRefusedAsNotRun) {
  Saturate();
  Advance(kDeadline);
  BOOST_TEST(Refusals(AnswerReason::kOverload) >= 1U);
  BOOST_TEST(engine.open_calls() == 0U);
  BOOST_TEST(!engine.NextTimer().has_value());
}

// An operator drains the host. New calls are refused as not run, and the
// running one gets its whole answer.
BOOST_AUTO_TEST_CASE(Engine_Draining_RefusesNewCallsAndFinishesRunningOnes) {
  const CallId running = Submit(Search());
  engine.Drain();
  (void)Submit(Search());
  BOOST_TEST((OnlyAnswer().reason == AnswerReason::kDraining));
  BOOST_TEST((OnlyAnswer().outcome == Outcome::kNotRun));
  AnswerAll();
  BOOST_REQUIRE(effects.answers.size() == 2U);
  BOOST_TEST((effects.answers[1].call == running));
  BOOST_TEST((effects.answers[1].answer.outcome == Outcome::kWhole));
}

BOOST_AUTO_TEST_CASE(Engine_CallerGoesAway_AttemptsAreCancelledWithoutAnswer) {
  const CallId call = Submit(Search());
  engine.Abandon(call, clock.Now(), effects);
  BOOST_TEST(effects.cancels.size() == kShards);
  BOOST_TEST(effects.answers.empty());
  BOOST_TEST(engine.open_calls() == 0U);
  BOOST_TEST(!engine.NextTimer().has_value());
}

BOOST_AUTO_TEST_CASE(Engine_WaitingCallerGoesAway_LeavesTheQueue) {
  Saturate();
  engine.Abandon(CallId(next_call - 1), clock.Now(), effects);
  BOOST_TEST(engine.waiting_calls() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
