// Tests of a request that crashes the targets of several hosts.
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "jacinthdeck/forward/crashing_fleet.h"

namespace jacinthdeck {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct CrashingRequestFixture {
  static constexpr Duration kRunTime = seconds(14);
  //! Calls that may reach targets once the fleet must know the request.
  static constexpr std::size_t kMaxLateCalls = 3;

  CrashingFleetOptions options;

  //! Runs the fleet with several seeds, and checks each result.
  template <typename Check>
  void RunSeeds(Check check) {
    constexpr std::uint64_t kSeeds = 4;
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
      BOOST_TEST_CONTEXT("seed " << options.seed) {
        check(CrashingFleet(options).Run(kRunTime));
      }
    }
  }

  static void CheckQuarantined(const CrashingFleetResult& result) {
    BOOST_TEST(result.late_calls.size() <= kMaxLateCalls);
    BOOST_TEST(result.refused > 0U);
  }
};

BOOST_FIXTURE_TEST_SUITE(CrashingRequestTest, CrashingRequestFixture)

// Guards against evidence that is dropped with its call. Two shards refuse all
// connections, so that each call fails before the targets of the other shards
// end; the request crashes targets for as long as it is repeated.
BOOST_AUTO_TEST_CASE(Request_TargetsEndAfterCallFailed_IsQuarantined) {
  options.unreachable_shards = 2;
  RunSeeds(CheckQuarantined);
}

// Guards against the same where the callers leave before the targets end.
BOOST_AUTO_TEST_CASE(Request_CallersLeaveBeforeTargetsEnd_IsQuarantined) {
  options.caller_patience = milliseconds(25);
  RunSeeds(CheckQuarantined);
}

// Guards against an answer of one shard that clears the request of the targets
// that it crashed in others.
BOOST_AUTO_TEST_CASE(Request_OneShardAnswers_IsQuarantined) {
  options.surviving_shards = 1;
  RunSeeds(CheckQuarantined);
}

// Guards against targets that end without closing their connections: only
// their silence, and then their new process, shows that they have ended.
BOOST_AUTO_TEST_CASE(Request_TargetsEndSilently_IsQuarantined) {
  options.crash = CrashKind::kSilent;
  RunSeeds(CheckQuarantined);
}

// Guards against hosts that each learn of the request by their own targets, and
// against a suspect request that is sent to all shards at once. The first call
// may end the targets of its attempts, and each host one more, if each is told
// before the request reaches it.
BOOST_AUTO_TEST_CASE(Request_AnyHostIsAsked_EachHostRisksOneMoreTarget) {
  constexpr std::size_t kMaxAttemptsPerShard = 2;
  options.store_delay = milliseconds(20);
  RunSeeds([&](const CrashingFleetResult& result) {
    BOOST_TEST(result.ended <=
               options.shards * kMaxAttemptsPerShard + options.hosts);
    BOOST_TEST(result.late_calls.size() <= kMaxLateCalls);
  });
}

// Guards against the refusal of a harmless request that is repeated while
// targets lose four in ten answers and two targets a second end by themselves.
BOOST_AUTO_TEST_CASE(HarmlessRequest_AnswersLostAndTargetsCrash_IsNotRefused) {
  options.crash = CrashKind::kNone;
  options.lost_answers = 0.4;
  options.crashes_per_second = 2;
  RunSeeds([](const CrashingFleetResult& result) {
    BOOST_TEST(result.answered > 0U);
    BOOST_TEST(result.refused == 0U);
    BOOST_TEST(result.others_refused == 0U);
  });
}

// Guards against the refusal of a popular request that runs beside a crashing
// one: it is suspect, and a target that the other request ends runs its probe.
BOOST_AUTO_TEST_CASE(PopularRequest_BesideCrashingOne_IsNotRefused) {
  options.popular_share = 0.3;
  RunSeeds([](const CrashingFleetResult& result) {
    BOOST_TEST(result.others_refused == 0U);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
