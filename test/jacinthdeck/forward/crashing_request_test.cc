// Tests of a request that crashes the targets of several hosts.
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

#include "jacinthdeck/forward/crashing_fleet.h"

namespace jacinthdeck {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct CrashingRequestFixture {
  static constexpr Duration kRunTime = seconds(14);
  static constexpr std::size_t kFewHosts = 6;
  static constexpr std::size_t kManyHosts = 76;
  //! Ends before the entries of the ended targets leave the registry.
  static constexpr Duration kWideRunTime = milliseconds(3500);
  //! By how much fewer calls may be answered whole and in time than when all
  //! retries were sent at once; the tests state the share of then.
  static constexpr double kMaxWholeLoss = 0.01;
  static constexpr double kMinAnswered = 0.9;
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

  //! Sets 36 shards and a request that ends its targets within a few
  //! milliseconds, before hedges are due. Other hosts are told in time.
  void UseWideFanOut(std::size_t hosts) {
    options.hosts = hosts;
    options.shards = 36;
    options.min_crash_delay = milliseconds(1);
    options.max_crash_delay = milliseconds(3);
    options.store_delay = milliseconds(20);
  }

  //! Checks a run of a wide fan-out with few hosts and one with many, which the
  //! tests share.
  template <typename Check>
  void RunWide(Check check) {
    static std::map<std::size_t, CrashingFleetResult> results;
    for (const std::size_t hosts : {kFewHosts, kManyHosts}) {
      UseWideFanOut(hosts);
      if (!results.contains(hosts)) {
        results[hosts] = CrashingFleet(options).Run(kWideRunTime);
      }
      BOOST_TEST_CONTEXT("hosts " << hosts) {
        check(results.at(hosts));
      }
    }
  }

  //! Share of the harmless calls that are answered whole and in time, over
  //! several seeds of a wide fan-out without a crashing request.
  [[nodiscard]] double MeanWholeShare() {
    constexpr std::uint64_t kSeeds = 4;
    UseWideFanOut(kFewHosts);
    options.crash = CrashKind::kNone;
    double sum = 0;
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
      sum += CrashingFleet(options).Run(kWideRunTime).whole_share();
    }
    BOOST_TEST_MESSAGE("whole and in time: " << sum / kSeeds);
    return sum / kSeeds;
  }

  static void CheckQuarantined(const CrashingFleetResult& result) {
    BOOST_TEST(result.late_calls.size() <= kMaxLateCalls);
    BOOST_TEST(result.refused > 0U);
  }
};

BOOST_FIXTURE_TEST_SUITE(CrashingRequestTest, CrashingRequestFixture)

// Guards against evidence that is dropped with its call. Two shards execute no
// request, so that each call fails before the targets of the other shards end;
// the request crashes targets for as long as it is repeated.
BOOST_AUTO_TEST_CASE(Request_TargetsEndAfterCallFailed_IsQuarantined) {
  options.shedding_shards = 2;
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

// Guards against errors that pass for answers: targets that fail requests
// without running them clear the request, and then speak for it.
BOOST_AUTO_TEST_CASE(Request_TargetsFailRequests_IsQuarantined) {
  options.failed_answers = 0.7;
  RunSeeds(CheckQuarantined);
}

// Guards against answers that speak for a request longer than they come: it
// crashes targets from some moment on, as after a change of the index.
BOOST_AUTO_TEST_CASE(Request_AnsweredBefore_IsQuarantined) {
  options.answered_before = true;
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

// Guards against retries that are sent before it is known why the first
// attempts broke: they end a second target of most shards. The other hosts are
// told before the request reaches them, and need not run it again.
BOOST_AUTO_TEST_CASE(Request_FirstAttemptsBreak_RetriesWaitForOne) {
  RunWide([&](const CrashingFleetResult& result) {
    BOOST_TEST(result.ended <= options.shards + 1);
    BOOST_TEST(result.shards_hit_twice <= 1U);
  });
}

// Guards against hedges that end a second target of most shards, where the
// first ones end later than hedges are due.
BOOST_AUTO_TEST_CASE(Request_TargetsEndAfterHedgesAreDue_HedgesWaitForOne) {
  UseWideFanOut(kFewHosts);
  options.min_crash_delay = milliseconds(40);
  options.max_crash_delay = milliseconds(70);
  const CrashingFleetResult result = CrashingFleet(options).Run(kWideRunTime);
  BOOST_TEST(result.ended <= options.shards + options.hosts);
}

// Guards against targets that refuse connections and are still chosen.
BOOST_AUTO_TEST_CASE(Targets_ConnectionsRefused_AreNotChosenAgain) {
  RunWide([](const CrashingFleetResult& result) {
    BOOST_TEST(result.repeated_refusals == 0U);
  });
}

// Guards against harmless calls that fail for want of a sound target, whichever
// third of the targets the request ended or a fault took.
BOOST_AUTO_TEST_CASE(HarmlessCalls_ThirdOfTargetsGone_AreAnswered) {
  RunWide([](const CrashingFleetResult& result) {
    BOOST_TEST(result.later_answered_share() >= kMinAnswered);
  });
  UseWideFanOut(kFewHosts);
  options.crash = CrashKind::kNone;
  for (std::size_t replica = 0; replica < options.replicas; ++replica) {
    options.lost_replica = replica;
    const CrashingFleetResult result = CrashingFleet(options).Run(kWideRunTime);
    BOOST_TEST(result.later_answered_share() >= kMinAnswered);
  }
}

// The following guard against retries of harmless calls that wait too long for
// one of them.
BOOST_AUTO_TEST_CASE(HarmlessCalls_FailureDomainLost_AreAnsweredWhole) {
  options.lost_replica = 0;
  BOOST_TEST(MeanWholeShare() >= 0.997 - kMaxWholeLoss);
}

BOOST_AUTO_TEST_CASE(HarmlessCalls_TargetsRestartInTurn_AreAnsweredWhole) {
  options.restart_interval = milliseconds(100);
  BOOST_TEST(MeanWholeShare() >= 0.997 - kMaxWholeLoss);
}

BOOST_AUTO_TEST_CASE(HarmlessCalls_HalfOfTargetsLoseAnswers_AreAnsweredWhole) {
  options.half_lossy = true;
  options.lost_answers = 0.4;
  BOOST_TEST(MeanWholeShare() >= 0.992 - kMaxWholeLoss);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
